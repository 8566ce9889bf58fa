//! A loopback proxy that harms connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyMode {
    /// Passes them on.
    Pass,
    /// Passes them on after this time.
    Delay(Duration),
    /// Loses what the server says.
    DropResponses,
    /// Loses everything.
    Silent,
    /// Resets every connection.
    Reset,
}

#[derive(Debug)]
struct ProxyState {
    mode: ProxyMode,
    /// Both ends of every connection so far.
    sockets: Vec<TcpStream>,
}

/// A running proxy; its threads end with the process.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

impl FaultProxy {
    /// Starts a proxy before `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback listener");
        let proxy = Self {
            address: listener.local_addr().expect("bound address"),
            state: Arc::new(Mutex::new(ProxyState {
                mode: ProxyMode::Pass,
                sockets: Vec::new(),
            })),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                // A connection that can't be carried is closed.
                let _ = shared.carry(near, target);
            }
        });
        proxy
    }

    /// Changes what is done with bytes, on open connections too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.with(|state| {
            state.mode = mode;
            if mode == ProxyMode::Reset {
                for socket in state.sockets.drain(..) {
                    reset(&socket);
                }
            }
        });
    }

    fn with<T>(&self, work: impl FnOnce(&mut ProxyState) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn carry(&self, near: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        if self.with(|state| state.mode) == ProxyMode::Reset {
            reset(&near);
            return Ok(());
        }
        let far = TcpStream::connect(target)?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let ends = [near.try_clone()?, far.try_clone()?];
        self.with(|state| state.sockets.extend(ends));
        let (near_write, far_write) = (near.try_clone()?, far.try_clone()?);
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(near, far_write, false));
        let proxy = self.clone();
        thread::spawn(move || proxy.pump(far, near_write, true));
        Ok(())
    }

    /// Passes bytes on one way. Once some were lost, none follow: the rest would be another text.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut buffer = [0; 16 * 1024];
        let mut lost = false;
        loop {
            // An end by reset counts like an orderly one.
            let count = from.read(&mut buffer).unwrap_or(0);
            let mode = self.with(|state| state.mode);
            lost |= match mode {
                ProxyMode::Silent => true,
                ProxyMode::DropResponses => answers,
                ProxyMode::Pass | ProxyMode::Delay(_) | ProxyMode::Reset => false,
            };
            if let ProxyMode::Delay(span) = mode {
                thread::sleep(span);
            }
            if lost && count > 0 {
                continue;
            }
            if lost || count == 0 || to.write_all(&buffer[..count]).is_err() {
                if !lost {
                    // The other end may be gone already.
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
        }
    }
}

fn reset(socket: &TcpStream) {
    // The other end may be gone already.
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}
