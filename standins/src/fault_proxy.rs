//! A TCP proxy on loopback that injects faults into the connections it forwards.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// How a proxy treats the bytes that it receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyMode {
    /// Forwards them.
    Pass,
    /// Forwards each read after this delay.
    Delay(Duration),
    /// Forwards requests and discards what the server sends.
    DropResponses,
    /// Discards everything in both directions and leaves the connections open.
    Silent,
    /// Resets every connection.
    Reset,
}

#[derive(Debug)]
struct ProxyState {
    mode: ProxyMode,
    /// Client and server sockets of every connection since the last reset.
    sockets: Vec<TcpStream>,
}

/// A running proxy. Its threads run until the process exits.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// The address that clients connect to.
    pub address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port that connects to `target`.
    pub fn start(target: SocketAddr) -> Self {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target)
    }

    /// Starts a proxy that listens on `address`.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("loopback listener");
        let proxy = Self {
            address: listener.local_addr().expect("bound address"),
            state: Arc::new(Mutex::new(ProxyState {
                mode: ProxyMode::Pass,
                sockets: Vec::new(),
            })),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // A connection that can't be forwarded is closed.
                let _ = shared.forward(client, target);
            }
        });
        proxy
    }

    /// Changes the mode, also for open connections; [`ProxyMode::Reset`] resets these at once.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.with_state(|state| {
            state.mode = mode;
            if mode == ProxyMode::Reset {
                for socket in state.sockets.drain(..) {
                    reset(&socket);
                }
            }
        });
    }

    fn with_state<T>(&self, work: impl FnOnce(&mut ProxyState) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        if self.with_state(|state| state.mode) == ProxyMode::Reset {
            reset(&client);
            return Ok(());
        }
        let server = TcpStream::connect(target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let ends = [client.try_clone()?, server.try_clone()?];
        self.with_state(|state| state.sockets.extend(ends));
        let (client_write, server_write) = (client.try_clone()?, server.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.forward_bytes(client, server_write, false));
        let proxy = self.clone();
        thread::spawn(move || proxy.forward_bytes(server, client_write, true));
        Ok(())
    }

    /// Forwards bytes in one direction. Once some were discarded, all later ones are discarded too:
    /// a receiver would otherwise get a message with a gap, which TCP never delivers.
    fn forward_bytes(&self, mut from: TcpStream, mut to: TcpStream, from_server: bool) {
        let mut buffer = [0; 16 * 1024];
        let mut discarding = false;
        loop {
            // A reset by the peer counts as the end of the stream.
            let count = from.read(&mut buffer).unwrap_or(0);
            let mode = self.with_state(|state| state.mode);
            discarding |= match mode {
                ProxyMode::Silent => true,
                ProxyMode::DropResponses => from_server,
                ProxyMode::Pass | ProxyMode::Delay(_) | ProxyMode::Reset => false,
            };
            if let ProxyMode::Delay(delay) = mode {
                thread::sleep(delay);
            }
            if discarding && count > 0 {
                continue;
            }
            if discarding || count == 0 || to.write_all(&buffer[..count]).is_err() {
                if !discarding {
                    // The receiver may have closed its socket already.
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
        }
    }
}

fn reset(socket: &TcpStream) {
    // The peer may have closed the connection already.
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}
