//! HTTP clients towards upstreams and the platform.
//!
//! Every call of a caller goes out on a connection of its own: an idle connection may have been
//! forgotten by something between the two ends, and a call on it would hang. Redirects are never followed,
//! because a followed one could send a call twice.

use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::ClientError;
use ntex::client::{Client, ClientBuilder, Connector};
use ntex::io::IoConfig;
use ntex::time::{Millis, Seconds};

use crate::error::{RouterError, RouterResult, StepName};

/// Longest time to open a connection to an upstream.
pub const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Connections that one client may have open at once.
const MAX_CONNECTIONS: usize = 4096;

/// How long a connection for short questions is kept.
const QUESTION_KEEP: Seconds = Seconds(5);

/// Builds a client for short questions that are asked again and again. It keeps its connections:
/// one that went silent costs one question its time limit and is dropped.
pub async fn build_question_client(answer: Duration, payload_bytes: usize) -> RouterResult<Client> {
    build(answer, payload_bytes, QUESTION_KEEP).await
}

/// Builds a client; `answer` bounds the time to the head of an answer, `payload_bytes` its body.
pub async fn build_client(answer: Duration, payload_bytes: usize) -> RouterResult<Client> {
    build(answer, payload_bytes, Seconds::ONE).await
}

async fn build(answer: Duration, payload_bytes: usize, keep: Seconds) -> RouterResult<Client> {
    let connector = Connector::default().limit(MAX_CONNECTIONS).keep_alive(keep);
    let io = IoConfig::new().set_connect_timeout(to_millis(CONNECT_LIMIT));
    ClientBuilder::new()
        .connector::<()>(connector)
        .disable_redirects()
        .no_default_headers()
        .response_timeout(to_millis(answer))
        .response_payload_timeout(to_millis(answer))
        .response_payload_limit(payload_bytes)
        .build(SharedCfg::new("client").add(io))
        .await
        .map_err(|error| RouterError::step(StepName::Connect, "client", error))
}

/// The same time in the library's unit, at least one millisecond since zero means no limit.
pub fn to_millis(span: Duration) -> Millis {
    Millis(u32::try_from(span.as_millis()).unwrap_or(u32::MAX).max(1))
}

/// Whether an error proves that no byte of the request was written.
pub fn proves_unsent(error: &ClientError) -> bool {
    matches!(error, ClientError::Url(_) | ClientError::Connect(_))
}
