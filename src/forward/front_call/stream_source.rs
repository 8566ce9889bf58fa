//! The upstream side of a response that is being read.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::dialect::EdgeDialect;
use crate::forward::attempt_record::AttemptRecord;
use crate::forward::event_batch::EventBatch;
use crate::forward::event_reader::EventReader;
use crate::forward::http_connection::HttpConnection;
use crate::forward::traffic_state::{TrafficState, UpstreamGuard};
use crate::forward::upstream_response::ConnectionReuse;
use crate::mono::MonoTime;
use crate::policy::call_attempts::AttemptFault;

/// What one attempt reads its response from. It is dropped with the attempt, so that no bytes of a
/// failed response can reach the next one.
pub struct StreamSource<D: EdgeDialect> {
    pub state: Rc<TrafficState<D>>,
    /// Counts the call at its upstream while the response is read.
    pub guard: UpstreamGuard<D>,
    pub record: Rc<AttemptRecord>,
    pub connection: HttpConnection,
    pub body: Incoming,
    /// Whether the connection may be reused once the body is read.
    pub reuse: ConnectionReuse,
    /// Splits the body into events, if it is a stream.
    pub reader: EventReader,
    /// Comments that are held back while the call is offered to another upstream.
    pub held: BytesMut,
    /// How long the call has waited for bytes since the last event. Comments do not end the wait.
    pub waited: Duration,
    /// Whether the end of the body can be told without the end of the connection.
    pub is_framed: bool,
    /// Whether the caller has an event of the stream, or this source has read one.
    pub has_begun: bool,
    /// Deadline of the call, after which bytes that are ready are not read either.
    pub deadline: MonoTime,
}

impl<D: EdgeDialect> StreamSource<D> {
    /// Reads until an event has arrived or the stream has ended. Comments before it do not begin
    /// the response to the caller, so that another upstream can still give all of it.
    pub async fn read_first_events(&mut self) -> Result<(EventBatch, bool), AttemptFault> {
        let mut comments = BytesMut::new();
        self.record.wait.begin_wait(self.state.now());
        loop {
            let (events, ended) = self.read_batch().await?;
            if ended || events.has_event() {
                return Ok((events.preceded_by(comments), ended));
            }
            comments.extend_from_slice(&events.bytes);
        }
    }

    /// Reads until at least one complete event or comment has arrived or the stream has ended. The
    /// flag is true at the end of the stream.
    pub async fn read_events(&mut self) -> Result<(EventBatch, bool), AttemptFault> {
        let since = self.state.now().saturating_sub(self.waited);
        self.record.wait.begin_wait(since);
        self.read_batch().await
    }

    async fn read_batch(&mut self) -> Result<(EventBatch, bool), AttemptFault> {
        let result = self.read_complete().await;
        if result.is_err() {
            let partial_bytes = self.reader.partial_bytes();
            self.record.choice.partial_bytes.set(partial_bytes);
        }
        result
    }

    async fn read_complete(&mut self) -> Result<(EventBatch, bool), AttemptFault> {
        loop {
            let Some(bytes) = self.next_chunk().await? else {
                // Without an event, a crash of the upstream looks the same as an unframed end.
                let lacks_events = !self.is_framed && !self.has_begun;
                return if self.reader.partial_bytes() > 0 || lacks_events {
                    Err(AttemptFault::Broken)
                } else {
                    let held = std::mem::take(&mut self.held);
                    Ok((EventBatch::default().preceded_by(held), true))
                };
            };
            let events = self.reader.push(&bytes)?;
            self.waited = if events.has_event() {
                self.has_begun = true;
                Duration::ZERO
            } else {
                self.state.now().since(self.record.waiting_since())
            };
            if events.has_event() || !events.is_empty() && !self.record.is_contested.get() {
                let held = std::mem::take(&mut self.held);
                return Ok((events.preceded_by(held), false));
            }
            self.held.extend_from_slice(&events.bytes);
        }
    }

    /// Reads a body to its end.
    pub async fn read_body(&mut self) -> Result<Bytes, AttemptFault> {
        self.record.wait.begin_wait(self.state.now());
        let state = Rc::clone(&self.state);
        let next = async || self.next_chunk().await;
        state
            .body_budget
            .read_body(next, AttemptFault::BadAnswer)
            .await
    }

    /// Returns the next chunk of the body, or `None` at its regular end.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, AttemptFault> {
        loop {
            if self.state.now() >= self.deadline {
                return Err(AttemptFault::Silent);
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(_)) => return Err(AttemptFault::Broken),
                Some(Ok(frame)) => {
                    self.state.record_activity(self.guard.key);
                    self.record.wait.record_bytes(self.state.now());
                    self.connection.record_body();
                    // Trailers are not part of the body.
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Returns the connection of a response that was read to its end to the pool if it can be
    /// reused.
    pub fn release(self) {
        let Self {
            state,
            guard,
            connection,
            reuse,
            ..
        } = self;
        if reuse.allowed && !state.is_closed(&guard.entry) {
            let now = state.now();
            let mut pool = state.pool.borrow_mut();
            let start = guard.entry.start();
            pool.put(guard.key, start, connection, reuse.idle_timeout, now);
        }
    }
}
