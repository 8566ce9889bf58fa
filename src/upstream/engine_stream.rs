//! The event stream of an engine for one request, on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::client::{ClientRequest, HttpClient};
use crate::error::{RouterError, StepName};
use crate::forward::http_connection::HttpConnection;
use crate::ids::RequestId;
use crate::rules::WorkRank;

/// Request header with the request id, which the engine repeats in the id of every event.
const HEADER_REQUEST: &str = "x-request-id";

/// Request header with the sequence number of the first event to send.
const HEADER_RESUME: &str = "x-resume-from";

/// Request header with the priority; a smaller number is more urgent.
const HEADER_PRIORITY: &str = "x-priority";

/// A chat request as it is sent to an engine.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id that the router generated for the request.
    pub id: RequestId,
    /// Rank, which determines the priority header.
    pub rank: WorkRank,
    /// Body of the caller's request, unchanged.
    pub body: Bytes,
}

/// The failure of an attempt to open a stream.
#[derive(Debug)]
pub enum OpenFault {
    /// No byte was written or the engine refused the request, so the request did not run.
    NotRun(RouterError),
    /// The request may have run.
    Unknown(RouterError),
}

/// An event received from an engine.
#[derive(Debug)]
pub enum EngineEvent {
    /// An event with a part of a response.
    Content {
        /// Id of the request that the event belongs to.
        request: String,
        /// Position in the response, from 0.
        sequence: u64,
        data: String,
    },
    /// The end marker of a response.
    End {
        /// Id of the request that the event belongs to.
        request: String,
        /// Number of events in the response.
        events: u64,
    },
    /// An event that can't be attributed to a response.
    Other,
}

#[derive(Deserialize)]
struct EndMarker {
    events: u64,
}

/// An open stream of events from an engine.
pub struct EngineStream {
    events: EventStream<BodyDataStream<Incoming>>,
    peer: SocketAddr,
    /// The connection that carries the events, closed when the stream is dropped.
    link: HttpConnection,
}

impl EngineStream {
    /// Sends `request` to the engine at `address` and opens a stream that starts with event number
    /// `resume_from`. The connection must open within `connect_timeout` and the response head
    /// arrive within `timeout`.
    pub async fn open(
        client: &HttpClient,
        address: SocketAddr,
        request: &EngineRequest,
        resume_from: u64,
        connect_timeout: Duration,
        timeout: Duration,
    ) -> Result<Self, OpenFault> {
        let call = ClientRequest::post(address, "/v1/chat/completions")
            .header(HEADER_REQUEST, request.id.as_str())
            .header(HEADER_RESUME, &resume_from.to_string())
            .header(HEADER_PRIORITY, &request.rank.engine_priority().to_string())
            .json_text(request.body.clone());
        let response = client
            .send_with_timeouts(call, connect_timeout, timeout)
            .await
            .map_err(|fault| {
                if fault.not_run() {
                    OpenFault::NotRun(RouterError::step(StepName::Connect, address, fault))
                } else {
                    OpenFault::Unknown(RouterError::step(StepName::FirstEvent, address, fault))
                }
            })?;
        let status = response.status();
        if status.is_success() {
            let (events, link) = response.into_stream();
            return Ok(Self {
                events: events.eventsource(),
                peer: address,
                link,
            });
        }
        let error = RouterError::step_text(StepName::FirstEvent, address, status.as_str());
        // Engines respond with 429 or 503 only to requests that they did not run.
        if matches!(status.as_u16(), 429 | 503) {
            Err(OpenFault::NotRun(error))
        } else {
            Err(OpenFault::Unknown(error))
        }
    }

    /// Waits for the next event, at most for `timeout`.
    pub async fn next(&mut self, timeout: Duration) -> Result<EngineEvent, RouterError> {
        let read = tokio::time::timeout(timeout, self.events.next()).await;
        let event = read.map_err(|_| self.silence())?;
        let event = event.ok_or_else(|| self.fault("stream ended without an end marker"))?;
        self.link.record_body();
        event
            .map(|event| parse_event(&event))
            .map_err(|error| self.fault(&error.to_string()))
    }

    /// Returns the error of an engine that sent no event in time.
    pub fn silence(&self) -> RouterError {
        self.fault("timed out waiting for an event")
    }

    fn fault(&self, text: &str) -> RouterError {
        RouterError::step_text(StepName::NextEvent, self.peer, text)
    }
}

/// Parses an event, whose id consists of the request id, a slash and the event's sequence number.
fn parse_event(event: &Event) -> EngineEvent {
    let Some((request, number)) = event.id.rsplit_once('/') else {
        return EngineEvent::Other;
    };
    if event.event == "end" {
        return match serde_json::from_str::<EndMarker>(&event.data) {
            Ok(marker) => EngineEvent::End {
                request: request.to_owned(),
                events: marker.events,
            },
            Err(_) => EngineEvent::Other,
        };
    }
    match number.parse() {
        Ok(sequence) => EngineEvent::Content {
            request: request.to_owned(),
            sequence,
            data: event.data.clone(),
        },
        Err(_) => EngineEvent::Other,
    }
}
