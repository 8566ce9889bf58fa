//! The clients' link to a machine. When the machine loses power, the connections on it fall silent for
//! good; new ones work once the machine is back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    /// Number of times that the machine has lost power.
    losses: Arc<AtomicU64>,
}

impl Link {
    pub fn open(machine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener of a link");
        let link = Self {
            address: listener.local_addr().expect("address of a link"),
            losses: Arc::default(),
        };
        let shared = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = shared.clone();
                thread::spawn(move || link.relay(client, machine));
            }
        });
        link
    }

    /// Silences all connections that are open.
    pub fn lose_power(&self) {
        self.losses.fetch_add(1, Ordering::SeqCst);
    }

    fn relay(&self, client: TcpStream, machine: SocketAddr) {
        let since = self.losses.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect_timeout(&machine, Duration::from_secs(1)) else {
            return;
        };
        let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let link = self.clone();
        thread::spawn(move || link.pump(from_client, server, since));
        self.pump(from_server, client, since);
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, since: u64) {
        let mut bytes = [0; 4096];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            while self.losses.load(Ordering::SeqCst) != since {
                // Keeps both connections open until the case ends.
                thread::sleep(Duration::from_secs(1));
            }
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
