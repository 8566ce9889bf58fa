//! Keeps one connection to a peer open.

use std::time::Duration;

use tokio::net::TcpStream;

use crate::error::{RouterError, RouterResult, StepName};
use crate::peer::session::{MailboxPair, PeerSession, prove_dialled};
use crate::peer::{PeerEvent, PeerIdentity, PeerTarget};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the next attempt.
const REDIAL_PAUSE: Duration = Duration::from_millis(300);

/// A connection without a frame for this long is dropped. Digests go out several times in it and
/// each is answered.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// Dials a peer again and again; tells `notify` what happens.
pub async fn dial_peer(own: PeerIdentity, target: PeerTarget, notify: impl Fn(PeerEvent)) {
    loop {
        if let Err(error) = talk(&own, &target, &notify).await {
            spdlog::debug!("peer-link-down", kv: { peer = target.vm.to_string(), error: = error });
        }
        notify(PeerEvent::Down {
            vm: target.vm.clone(),
        });
        tokio::time::sleep(REDIAL_PAUSE).await;
    }
}

async fn talk(
    own: &PeerIdentity,
    target: &PeerTarget,
    notify: &impl Fn(PeerEvent),
) -> RouterResult<()> {
    let peer = target.vm.to_string();
    let session = open(own, target, &peer).await?;
    let channel = MailboxPair::open();
    notify(PeerEvent::Up {
        name: session.name.clone(),
        mailbox: channel.mailbox.clone(),
    });
    session
        .exchange(own.clock.now(), SILENCE_LIMIT, channel, notify)
        .await
}

async fn open(own: &PeerIdentity, target: &PeerTarget, peer: &str) -> RouterResult<PeerSession> {
    let fault = |text: &str| RouterError::step_text(StepName::Connect, peer, text);
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target.address)).await;
    let stream = connect.map_err(|_| fault("took too long"))?;
    let stream = stream.map_err(|error| RouterError::step(StepName::Connect, peer, error))?;
    let session = prove_dialled(stream, own, peer).await?;
    if session.name.vm != target.vm {
        return Err(fault("another VM answers at this address"));
    }
    Ok(session)
}
