//! Maintains one connection to a peer.

use std::time::Duration;

use tokio::net::TcpStream;

use crate::error::{RouterError, RouterResult, StepName};
use crate::peer::session::{MailboxPair, PeerSession, handshake_as_dialler};
use crate::peer::{PeerEvent, PeerIdentity, PeerTarget};

/// Time limit of the TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay between the end of a connection, or a failed attempt, and the next attempt.
const REDIAL_DELAY: Duration = Duration::from_millis(300);

/// Closes a connection on which no frame was received for this long. Several digests are sent
/// within this time, and the peer acknowledges each of them.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Connects to a peer, and reconnects whenever the connection fails, until the task is aborted.
/// Reports connections and frames to `notify`.
pub async fn dial_peer(own: PeerIdentity, target: PeerTarget, notify: impl Fn(PeerEvent)) {
    loop {
        if let Err(error) = run_session(&own, &target, &notify).await {
            spdlog::debug!("peer-link-down", kv: { peer = target.vm.to_string(), error: = error });
        }
        notify(PeerEvent::Down {
            vm: target.vm.clone(),
        });
        tokio::time::sleep(REDIAL_DELAY).await;
    }
}

async fn run_session(
    own: &PeerIdentity,
    target: &PeerTarget,
    notify: &impl Fn(PeerEvent),
) -> RouterResult<()> {
    let peer = target.vm.to_string();
    let session = open_session(own, target, &peer).await?;
    let channel = MailboxPair::open();
    notify(PeerEvent::Up {
        name: session.name.clone(),
        mailbox: channel.mailbox.clone(),
    });
    session
        .exchange(own.clock.now(), IDLE_TIMEOUT, channel, notify)
        .await
}

async fn open_session(
    own: &PeerIdentity,
    target: &PeerTarget,
    peer: &str,
) -> RouterResult<PeerSession> {
    let connect_error = |text: &str| RouterError::step_text(StepName::Connect, peer, text);
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let stream = connect.map_err(|_| connect_error("connect timed out"))?;
    let stream = stream.map_err(|error| RouterError::step(StepName::Connect, peer, error))?;
    let session = handshake_as_dialler(stream, own, peer).await?;
    if session.name.vm != target.vm {
        return Err(connect_error(
            "the router at this address runs on another VM",
        ));
    }
    Ok(session)
}
