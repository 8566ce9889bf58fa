//! A caller of a test fleet.

use std::net::SocketAddr;

use hawthornrouter::client::{ClientRequest, HttpClient};
use serde::Deserialize;
use serde_json::{Value, json};

use super::{MODEL, SERVICE};

/// What a caller got for a chat request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatResponse {
    pub status: u16,
    pub text: String,
    pub retry_after: Option<String>,
}

impl ChatResponse {
    /// The data of the answer's own events.
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

    /// Whether the answer has its end marker and exactly `events` events of one request, in order.
    pub fn is_complete(&self, events: u64) -> bool {
        let end = format!("event: end\ndata: {{\"events\":{events}}}\n\n");
        let pieces = self.event_data();
        let tokens: Vec<u64> = pieces
            .iter()
            .filter_map(|piece| piece["token"].as_u64())
            .collect();
        let first = pieces.first().map(|piece| piece["request"].clone());
        self.text.ends_with(&end)
            && tokens == (0..events).collect::<Vec<u64>>()
            && pieces
                .iter()
                .all(|piece| Some(&piece["request"]) == first.as_ref())
    }

    /// Whether the answer ends with an explicit error.
    pub fn has_error(&self) -> bool {
        self.text.contains("event: error\n")
    }

    /// Whether the caller was told that the request did not run.
    pub fn is_not_run(&self) -> bool {
        self.text.contains("\"outcome\":\"not_run\"")
    }
}

/// What a caller got for an order.
#[derive(Clone, Debug, PartialEq)]
pub struct OrderResponse {
    pub status: u16,
    pub outcome: String,
    pub body: String,
}

/// What a caller asks of a chat.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    pub chat: String,
    pub rank: String,
    pub events: u64,
    pub fault: Value,
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

/// A caller with its token.
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

    /// Sends a chat request and reads the answer to its end.
    pub async fn chat(&self, entry: SocketAddr, ask: &ChatRequest) -> ChatResponse {
        self.try_chat(entry, ask).await.expect("router answers")
    }

    /// Sends a chat request; none when the router can't be reached or cuts the connection.
    pub async fn try_chat(&self, entry: SocketAddr, ask: &ChatRequest) -> Option<ChatResponse> {
        let body = json!({
            "model": MODEL, "max_tokens": ask.events, "fault": ask.fault, "note": ask.note,
        });
        let call = ClientRequest::post(entry, "/v1/chat/completions")
            .bearer(&self.token)
            .header("x-chat-id", &ask.chat)
            .header("x-rank", &ask.rank)
            .json_text(body.to_string());
        let answer = self.client.send(call).await.ok()?;
        let status = answer.status().as_u16();
        let retry_after = answer.header("retry-after").map(ToOwned::to_owned);
        let text = answer.bytes().await.ok()?;
        Some(ChatResponse {
            status,
            text: String::from_utf8(text.to_vec()).expect("text"),
            retry_after,
        })
    }

    /// Gets a ticket.
    pub async fn ticket(&self, entry: SocketAddr) -> String {
        let call = ClientRequest::post(entry, format!("/v1/services/{SERVICE}/tickets"));
        let answer = self.client.send(call.bearer(&self.token)).await;
        let minted = answer.expect("router answers").json::<TicketBody>().await;
        minted.expect("ticket").ticket
    }

    /// Sends an order under a ticket.
    pub async fn order(&self, entry: SocketAddr, ticket: &str, body: &str) -> OrderResponse {
        self.try_order(entry, ticket, body)
            .await
            .expect("router answers")
    }

    /// Sends an order; none when the router can't be reached or cuts the connection.
    pub async fn try_order(
        &self,
        entry: SocketAddr,
        ticket: &str,
        body: &str,
    ) -> Option<OrderResponse> {
        let call = ClientRequest::post(entry, format!("/v1/services/{SERVICE}"))
            .bearer(&self.token)
            .header("x-ticket", ticket)
            .json_text(body.to_owned());
        let answer = self.client.send(call).await.ok()?;
        let status = answer.status().as_u16();
        let outcome = answer.header("x-outcome").unwrap_or("none").to_owned();
        let body = answer.bytes().await.ok()?;
        Some(OrderResponse {
            status,
            outcome,
            body: String::from_utf8(body.to_vec()).expect("text"),
        })
    }
}
