//! A link on loopback between a process and its peers, which send each other datagrams. It can lose
//! those of either direction.

use std::net::{SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_536;

#[derive(Debug)]
struct LinkState {
    passes_in: AtomicBool,
    passes_out: AtomicBool,
}

/// A running link. Its threads run until the process exits.
#[derive(Clone, Debug)]
pub struct DatagramLink(Arc<LinkState>);

impl DatagramLink {
    /// Starts a link between `inside` and `peers`, which all listen at one port. `inside` listens at
    /// another one, and each side finds the other at its own port.
    pub fn start(inside: SocketAddrV4, peers: &[SocketAddrV4]) -> Self {
        let link = Self(Arc::new(LinkState {
            passes_in: AtomicBool::new(true),
            passes_out: AtomicBool::new(true),
        }));
        let outer_port = peers.first().expect("a peer").port();
        let bind = |address| Arc::new(UdpSocket::bind(address).expect("loopback socket"));
        let outer = bind(SocketAddrV4::new(*inside.ip(), outer_port));
        let inner: Vec<_> = peers
            .iter()
            .map(|peer| (*peer, bind(SocketAddrV4::new(*peer.ip(), inside.port()))))
            .collect();
        for (peer, socket) in inner.clone() {
            let (outer, link) = (Arc::clone(&outer), link.clone());
            thread::spawn(move || {
                forward(&socket, |bytes, _| {
                    if link.0.passes_out.load(Ordering::SeqCst) {
                        let _ = outer.send_to(bytes, peer);
                    }
                });
            });
        }
        let shared = link.clone();
        thread::spawn(move || {
            forward(&outer, |bytes, sender| {
                let socket = inner.iter().find(|(peer, _)| *peer == sender);
                if let Some((_, socket)) = socket
                    && shared.0.passes_in.load(Ordering::SeqCst)
                {
                    let _ = socket.send_to(bytes, inside);
                }
            });
        });
        link
    }

    /// Changes which directions pass: to `inside`, and from it.
    pub fn set_passing(&self, passes_in: bool, passes_out: bool) {
        self.0.passes_in.store(passes_in, Ordering::SeqCst);
        self.0.passes_out.store(passes_out, Ordering::SeqCst);
    }
}

/// Hands on what a socket receives. A receiver that does not listen is no failure.
fn forward<F: Fn(&[u8], SocketAddrV4)>(socket: &UdpSocket, send: F) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        if let Ok((count, std::net::SocketAddr::V4(sender))) = socket.recv_from(&mut buffer) {
            send(&buffer[..count], sender);
        }
    }
}
