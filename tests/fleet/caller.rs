//! Client with which tests send requests to the routers of a fleet.

use std::net::SocketAddr;

use hawthornrouter::client::{ClientRequest, HttpClient};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{MODEL, SERVICE};

/// Response to a chat request, read to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatResponse {
    pub status: u16,
    pub text: String,
    pub retry_after: Option<String>,
}

impl ChatResponse {
    /// Returns the data of the engine's events, without the end marker and error events, which the
    /// router adds.
    pub fn event_data(&self) -> Vec<Value> {
        let blocks = self
            .text
            .split("\n\n")
            .filter(|block| block.starts_with("id: "));
        blocks
            .map(|block| {
                let data = block.lines().find_map(|line| line.strip_prefix("data: "));
                serde_json::from_str(data.expect("data")).expect("json")
            })
            .collect()
    }

    /// Whether the response consists of exactly `events` events of one request, in order, and the
    /// end marker.
    pub fn is_complete(&self, events: u64) -> bool {
        let end = format!("event: end\ndata: {{\"events\":{events}}}\n\n");
        let data = self.event_data();
        let tokens: Vec<u64> = data
            .iter()
            .filter_map(|event| event["token"].as_u64())
            .collect();
        let first = data.first().map(|event| event["request"].clone());
        self.text.ends_with(&end)
            && tokens == (0..events).collect::<Vec<u64>>()
            && data
                .iter()
                .all(|event| Some(&event["request"]) == first.as_ref())
    }

    /// Whether the response contains an error event.
    pub fn has_error(&self) -> bool {
        self.text.contains("event: error\n")
    }

    /// Whether the response reports that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.text.contains("\"outcome\":\"not_run\"")
    }
}

/// Response to an order, read to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderResponse {
    pub status: u16,
    /// Value of the `x-outcome` header; `none` when it is absent.
    pub outcome: String,
    pub body: String,
}

/// Parameters of a chat request; by default its rank is `quick` and no fault is injected.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    pub chat: String,
    pub rank: String,
    pub events: u64,
    /// Faults that the stand-in engine injects.
    pub fault: Value,
    /// Text in the body that identifies the request in the engines' records.
    pub note: String,
}

impl ChatRequest {
    pub fn new(chat: &str, events: u64) -> Self {
        Self {
            chat: chat.to_owned(),
            rank: "quick".to_owned(),
            events,
            fault: json!({}),
            note: String::new(),
        }
    }

    pub fn rank(mut self, rank: &str) -> Self {
        rank.clone_into(&mut self.rank);
        self
    }

    pub fn fault(mut self, fault: Value) -> Self {
        self.fault = fault;
        self
    }

    pub fn note(mut self, note: &str) -> Self {
        note.clone_into(&mut self.note);
        self
    }
}

#[derive(Deserialize)]
struct TicketBody {
    ticket: String,
}

/// A client with the token of an account.
#[derive(Clone)]
pub struct TestCaller {
    client: HttpClient,
    token: String,
}

impl TestCaller {
    pub fn new(client: HttpClient, token: &str) -> Self {
        Self {
            client,
            token: token.to_owned(),
        }
    }

    /// Sends a chat request and reads the response to its end.
    pub async fn chat(&self, entry: SocketAddr, request: &ChatRequest) -> ChatResponse {
        self.try_chat(entry, request)
            .await
            .expect("router responds")
    }

    /// Sends a chat request; returns `None` when the router is unreachable or closes the connection
    /// early.
    pub async fn try_chat(&self, entry: SocketAddr, request: &ChatRequest) -> Option<ChatResponse> {
        let body = json!({
            "model": MODEL,
            "max_tokens": request.events,
            "fault": request.fault,
            "note": request.note,
        });
        let http_request = ClientRequest::post(entry, "/v1/chat/completions")
            .bearer(&self.token)
            .header("x-chat-id", &request.chat)
            .header("x-rank", &request.rank)
            .json_text(body.to_string());
        let response = self.client.send(http_request).await.ok()?;
        let status = response.status().as_u16();
        let retry_after = response.header("retry-after").map(ToOwned::to_owned);
        let text = response.bytes().await.ok()?;
        Some(ChatResponse {
            status,
            text: String::from_utf8(text.to_vec()).expect("text"),
            retry_after,
        })
    }

    /// Obtains a ticket for one order.
    pub async fn ticket(&self, entry: SocketAddr) -> String {
        let http_request = ClientRequest::post(entry, format!("/v1/services/{SERVICE}/tickets"));
        let response = self.client.send(http_request.bearer(&self.token)).await;
        let body = response
            .expect("router responds")
            .json::<TicketBody>()
            .await;
        body.expect("ticket").ticket
    }

    /// Sends an order under a ticket.
    pub async fn order(&self, entry: SocketAddr, ticket: &str, body: &str) -> OrderResponse {
        self.try_order(entry, ticket, body)
            .await
            .expect("router responds")
    }

    /// Sends an order; returns `None` when the router is unreachable or closes the connection
    /// early.
    pub async fn try_order(
        &self,
        entry: SocketAddr,
        ticket: &str,
        body: &str,
    ) -> Option<OrderResponse> {
        let http_request = ClientRequest::post(entry, format!("/v1/services/{SERVICE}"))
            .bearer(&self.token)
            .header("x-ticket", ticket)
            .json_text(body.to_owned());
        let response = self.client.send(http_request).await.ok()?;
        let status = response.status().as_u16();
        let outcome = response.header("x-outcome").unwrap_or("none").to_owned();
        let body = response.bytes().await.ok()?;
        Some(OrderResponse {
            status,
            outcome,
            body: String::from_utf8(body.to_vec()).expect("text"),
        })
    }
}
