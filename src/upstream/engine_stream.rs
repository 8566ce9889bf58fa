//! One connection to an engine for one request.

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

/// Header that names the request; the engine repeats it on every event.
const HEADER_REQUEST: &str = "x-request-id";

/// Header with the number of the first event that is wanted.
const HEADER_RESUME: &str = "x-resume-from";

/// Header with the priority of a request; a smaller number is more urgent.
const HEADER_PRIORITY: &str = "x-priority";

/// What an engine is sent.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Who it is.
    pub request: RequestId,
    /// How urgent it is.
    pub rank: WorkRank,
    /// The caller's body.
    pub body: Bytes,
}

/// How an attempt to open a stream failed.
#[derive(Debug)]
pub enum OpenFault {
    /// No byte was written, or the engine refused: it did not run.
    NotRun(RouterError),
    /// It may run.
    Unknown(RouterError),
}

/// One event of an engine.
#[derive(Debug)]
pub enum EngineEvent {
    /// A piece of an answer.
    Piece {
        /// The request that it belongs to.
        request: String,
        /// Its number in the answer.
        sequence: u64,
        /// What it says.
        data: String,
    },
    /// The end marker.
    End {
        /// The request that it belongs to.
        request: String,
        /// Events of the whole answer.
        events: u64,
    },
    /// Something that is no event of an answer.
    Other,
}

#[derive(Deserialize)]
struct EndMarker {
    events: u64,
}

/// An open stream of events.
pub struct EngineStream {
    events: EventStream<BodyDataStream<Incoming>>,
    peer: SocketAddr,
    /// Carries the events; closed with the stream.
    _link: HttpConnection,
}

impl EngineStream {
    /// Opens a stream that starts with the event numbered `resume_from`.
    pub async fn open(
        client: &HttpClient,
        address: SocketAddr,
        request: &EngineRequest,
        resume_from: u64,
        limit: Duration,
    ) -> Result<Self, OpenFault> {
        let call = ClientRequest::post(address, "/v1/chat/completions")
            .header(HEADER_REQUEST, request.request.as_str())
            .header(HEADER_RESUME, &resume_from.to_string())
            .header(HEADER_PRIORITY, &request.rank.engine_priority().to_string())
            .json_text(request.body.clone());
        let answer = client
            .send_with_timeout(call, limit)
            .await
            .map_err(|fault| {
                if fault.not_run() {
                    OpenFault::NotRun(RouterError::step(StepName::Connect, address, fault))
                } else {
                    OpenFault::Unknown(RouterError::step(StepName::FirstEvent, address, fault))
                }
            })?;
        let status = answer.status();
        if status.is_success() {
            let (events, link) = answer.into_stream();
            return Ok(Self {
                events: events.eventsource(),
                peer: address,
                _link: link,
            });
        }
        let error = RouterError::step_text(StepName::FirstEvent, address, status.as_str());
        // Engines answer 429 and 503 before they run anything.
        if matches!(status.as_u16(), 429 | 503) {
            Err(OpenFault::NotRun(error))
        } else {
            Err(OpenFault::Unknown(error))
        }
    }

    /// The next event, at most `silence` after the last.
    pub async fn next(&mut self, silence: Duration) -> Result<EngineEvent, RouterError> {
        let fault = |text: &str| RouterError::step_text(StepName::NextEvent, self.peer, text);
        let read = tokio::time::timeout(silence, self.events.next()).await;
        let event = read.map_err(|_| fault("silent for too long"))?;
        let event = event.ok_or_else(|| fault("stream ended without a marker"))?;
        event
            .map(|event| parse_event(&event))
            .map_err(|error| fault(&error.to_string()))
    }
}

/// Reads an engine's event: its id is the request, a slash and the number in the answer.
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
        Ok(sequence) => EngineEvent::Piece {
            request: request.to_owned(),
            sequence,
            data: event.data.clone(),
        },
        Err(_) => EngineEvent::Other,
    }
}
