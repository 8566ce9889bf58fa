//! Takes connections from peers.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::error::RouterResult;
use crate::peer::session::{MailboxPair, prove_accepted};
use crate::peer::{PeerEvent, PeerIdentity};

/// A connection without a frame for this long is dropped.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Takes connections from peers for as long as the process lives.
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
            if let Err(error) = serve(stream, &own, &peer, &*notify).await {
                spdlog::info!("peer-refused", kv: { peer, error: = error });
            }
        });
    }
}

async fn serve(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
    notify: &impl Fn(PeerEvent),
) -> RouterResult<()> {
    let session = prove_accepted(stream, own, peer).await?;
    session
        .exchange(own.clock.now(), SILENCE_LIMIT, MailboxPair::open(), notify)
        .await
}
