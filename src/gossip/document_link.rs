//! Fetches documents from a peer over a connection of its own.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::error::{RouterError, RouterResult, StepName};
use crate::gossip::frames::{DocumentAsk, DocumentGive};

/// Largest answer: a configuration of a megabyte, and the entries of some thousand upstreams.
const GIVE_BYTES: usize = 8 << 20;

/// Longest time of a whole exchange: another peer may answer sooner.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(1500);

fn framed(socket: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(GIVE_BYTES)
        .new_framed(socket)
}

/// Asks `peer` for newer documents.
pub async fn fetch_documents(peer: SocketAddrV4, ask: DocumentAsk) -> RouterResult<DocumentGive> {
    let exchange = async {
        let socket = TcpStream::connect(peer)
            .await
            .map_err(|error| RouterError::step(StepName::Connect, peer, error))?;
        let mut frames = framed(socket);
        let fault = |error: std::io::Error| RouterError::step(StepName::PeerFrame, peer, error);
        frames
            .send(Bytes::from(ask.encode_to_vec()))
            .await
            .map_err(fault)?;
        let frame = frames
            .next()
            .await
            .ok_or_else(|| RouterError::step_text(StepName::PeerFrame, peer, "closed"))?
            .map_err(fault)?;
        DocumentGive::decode(frame)
            .map_err(|error| RouterError::step(StepName::PeerFrame, peer, error))
    };
    timeout(EXCHANGE_LIMIT, exchange)
        .await
        .map_err(|_| RouterError::step_text(StepName::PeerFrame, peer, "no answer in time"))?
}

/// Answers one question of a peer with what `give` finds.
pub async fn answer_peer<F>(socket: TcpStream, give: F) -> anyhow::Result<()>
where
    F: FnOnce(DocumentAsk) -> DocumentGive,
{
    let exchange = async {
        let mut frames = framed(socket);
        let Some(frame) = frames.next().await else {
            return Ok(());
        };
        let frame: BytesMut = frame?;
        let give = give(DocumentAsk::decode(frame)?);
        frames.send(Bytes::from(give.encode_to_vec())).await?;
        Ok(())
    };
    timeout(EXCHANGE_LIMIT, exchange).await?
}
