//! Calls to a router's administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use serde::de::DeserializeOwned;

use crate::client::{CONNECT_TIMEOUT, ClientLimits, ClientRequest, HttpClient};
use crate::config::read_text;
use crate::error::{RouterError, RouterResult};

/// Longest answer of a router.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);

/// Largest answer of a router, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// Whether a call reads or orders something.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminMethod {
    /// Reads.
    Get,
    /// Orders.
    Post,
}

/// Calls a router and gives the text of its answer.
pub fn call(
    admin: SocketAddr,
    token: &Path,
    method: AdminMethod,
    path: &str,
) -> RouterResult<String> {
    let token = read_text(token)?.trim().to_owned();
    let call = match method {
        AdminMethod::Get => ClientRequest::get(admin, path),
        AdminMethod::Post => ClientRequest::post(admin, path),
    };
    let call = call.bearer(&token);
    System::new("hawthornctl", DefaultRuntime).block_on(send(admin, call))
}

/// Calls a router and parses its answer.
pub fn read<T: DeserializeOwned>(admin: SocketAddr, token: &Path, path: &str) -> RouterResult<T> {
    let text = call(admin, token, AdminMethod::Get, path)?;
    serde_json::from_str(&text).map_err(|error| RouterError::Failed(format!("{admin}: {error}")))
}

async fn send(admin: SocketAddr, call: ClientRequest) -> RouterResult<String> {
    let fault = |text: String| RouterError::Failed(format!("{admin}: {text}"));
    let client = HttpClient::new(ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: ANSWER_LIMIT,
        body_bytes: ANSWER_BYTES,
    });
    let answer = client.send(call).await;
    let answer = answer.map_err(|error| fault(error.to_string()))?;
    let status = answer.status();
    let body = answer.bytes().await;
    let body = body.map_err(|error| fault(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(fault(format!("{status} {text}")))
    }
}
