//! Client for a router's administration API.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ntex::rt::{DefaultRuntime, System};
use serde::de::DeserializeOwned;

use crate::client::{CONNECT_TIMEOUT, ClientLimits, ClientRequest, HttpClient};
use crate::config::read_text;
use crate::error::{RouterError, RouterResult};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// HTTP method of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdminMethod {
    /// Reads state.
    Get,
    /// Requests an action.
    Post,
}

/// Calls the administration API at `admin` with the token in the file `token`, and returns the
/// response body.
pub fn call(
    admin: SocketAddr,
    token: &Path,
    method: AdminMethod,
    path: &str,
) -> RouterResult<String> {
    let token = read_text(token)?.trim().to_owned();
    let request = match method {
        AdminMethod::Get => ClientRequest::get(admin, path),
        AdminMethod::Post => ClientRequest::post(admin, path),
    };
    let request = request.bearer(&token);
    System::new("hawthornctl", DefaultRuntime).block_on(send(admin, request))
}

/// Sends a GET request to the administration API and parses the JSON response.
pub fn get_json<T: DeserializeOwned>(
    admin: SocketAddr,
    token: &Path,
    path: &str,
) -> RouterResult<T> {
    let text = call(admin, token, AdminMethod::Get, path)?;
    serde_json::from_str(&text).map_err(|error| RouterError::Failed(format!("{admin}: {error}")))
}

/// Sends a GET request to a listener without tokens and parses the JSON response.
pub fn get_open_json<T: DeserializeOwned>(listener: SocketAddr, path: &str) -> RouterResult<T> {
    let request = ClientRequest::get(listener, path);
    let text = System::new("hawthornctl", DefaultRuntime).block_on(send(listener, request))?;
    serde_json::from_str(&text).map_err(|error| RouterError::Failed(format!("{listener}: {error}")))
}

async fn send(admin: SocketAddr, request: ClientRequest) -> RouterResult<String> {
    let failure = |text: String| RouterError::Failed(format!("{admin}: {text}"));
    let client = HttpClient::new(ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: RESPONSE_TIMEOUT,
        body_bytes: MAX_RESPONSE_BYTES,
    });
    let response = client.send(request).await;
    let response = response.map_err(|error| failure(error.to_string()))?;
    let status = response.status();
    let body = response.bytes().await;
    let body = body.map_err(|error| failure(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(failure(format!("{status} {text}")))
    }
}
