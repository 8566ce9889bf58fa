//! Accepts connections from peers.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::error::RouterResult;
use crate::peer::session::{MailboxPair, handshake_as_accepter};
use crate::peer::{PeerEvent, PeerIdentity};

/// Closes a connection on which no frame was received for this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections from peers and reports their frames to `notify`. Never returns.
pub async fn accept_peers<N>(listener: TcpListener, own: PeerIdentity, notify: N)
where
    N: Fn(PeerEvent) + 'static,
{
    let notify = Rc::new(notify);
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            continue;
        };
        let own = own.clone();
        let notify = Rc::clone(&notify);
        ntex::rt::spawn(async move {
            let peer = address.to_string();
            if let Err(error) = serve_peer(stream, &own, &peer, &*notify).await {
                spdlog::info!("peer-refused", kv: { peer, error: = error });
            }
        });
    }
}

async fn serve_peer(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
    notify: &impl Fn(PeerEvent),
) -> RouterResult<()> {
    let session = handshake_as_accepter(stream, own, peer).await?;
    session
        .exchange(own.clock.now(), IDLE_TIMEOUT, MailboxPair::open(), notify)
        .await
}
