//! Request and response for documents between two routers, over one TCP connection per request.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::error::{RouterError, RouterResult, StepName};
use crate::gossip::frames::{DocumentRequest, DocumentResponse};

/// Largest frame: a response with a configuration of one megabyte and the entries of some thousand
/// upstreams fits.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Time limit of a whole exchange, including the connect. It is short because another peer may
/// respond sooner.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);

fn framed(socket: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(socket)
}

/// Requests from `peer` the documents that are newer than the version and the revision in
/// `request`.
pub async fn fetch_documents(
    peer: SocketAddrV4,
    request: DocumentRequest,
) -> RouterResult<DocumentResponse> {
    let exchange = async {
        let socket = TcpStream::connect(peer)
            .await
            .map_err(|error| RouterError::step(StepName::Connect, peer, error))?;
        let mut frames = framed(socket);
        let fault = |error: std::io::Error| RouterError::step(StepName::PeerFrame, peer, error);
        frames
            .send(Bytes::from(request.encode_to_vec()))
            .await
            .map_err(fault)?;
        let frame = frames
            .next()
            .await
            .ok_or_else(|| RouterError::step_text(StepName::PeerFrame, peer, "closed"))?
            .map_err(fault)?;
        DocumentResponse::decode(frame)
            .map_err(|error| RouterError::step(StepName::PeerFrame, peer, error))
    };
    timeout(EXCHANGE_TIMEOUT, exchange).await.map_err(|_| {
        RouterError::step_text(StepName::PeerFrame, peer, "no response within 1.5 s")
    })?
}

/// Reads one request from a peer and sends the response that `respond` returns for it.
pub async fn serve_document_request<F>(socket: TcpStream, respond: F) -> anyhow::Result<()>
where
    F: FnOnce(DocumentRequest) -> DocumentResponse,
{
    let exchange = async {
        let mut frames = framed(socket);
        let Some(frame) = frames.next().await else {
            return Ok(());
        };
        let frame: BytesMut = frame?;
        let response = respond(DocumentRequest::decode(frame)?);
        frames.send(Bytes::from(response.encode_to_vec())).await?;
        Ok(())
    };
    timeout(EXCHANGE_TIMEOUT, exchange).await?
}
