//! Calls to a router's administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ntex::client::ClientRequest;
use ntex::rt::{DefaultRuntime, System};
use serde::de::DeserializeOwned;

use crate::client::build_client;
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
    let url = format!("http://{admin}{path}");
    System::new("hawthornctl", DefaultRuntime).block_on(async move {
        let client = build_client(ANSWER_LIMIT, ANSWER_BYTES).await?;
        let request = match method {
            AdminMethod::Get => client.get(&url),
            AdminMethod::Post => client.post(&url),
        };
        send(admin, request, &token).await
    })
}

/// Calls a router and parses its answer.
pub fn read<T: DeserializeOwned>(admin: SocketAddr, token: &Path, path: &str) -> RouterResult<T> {
    let text = call(admin, token, AdminMethod::Get, path)?;
    serde_json::from_str(&text).map_err(|error| RouterError::Failed(format!("{admin}: {error}")))
}

async fn send(admin: SocketAddr, request: ClientRequest, token: &str) -> RouterResult<String> {
    let fault = |text: String| RouterError::Failed(format!("{admin}: {text}"));
    let request = request.bearer_auth(token).force_close();
    let response = request
        .send()
        .await
        .map_err(|error| fault(error.to_string()))?;
    let status = response.status();
    let body = response
        .body()
        .await
        .map_err(|error| fault(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(fault(format!("{status} {text}")))
    }
}
