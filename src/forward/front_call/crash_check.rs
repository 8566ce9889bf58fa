//! Crashes of upstreams under a call, and calls that are held because of them.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::FrontCall;
use crate::dialect::EdgeDialect;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::policy::call_attempts::{AttemptFault, CallFailure};
use crate::policy::suspect_work::{SuspectDecision, suspect_time};

/// Timeout of the connection attempt after a broken call. A VM whose process has ended refuses
/// within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl<D: EdgeDialect> FrontCall<D> {
    /// Records the crash of an upstream under this call, if the fault of the attempt is one. An
    /// upstream that only broke the connection still accepts others.
    ///
    /// A call is suspect until its answer is complete, the parts of its prompt until the answer goes
    /// on after its first events.
    pub(super) async fn record_crash(&mut self, entry: &UpstreamEntry, fault: AttemptFault) {
        if fault != AttemptFault::Broken {
            return;
        }
        let broken_at = suspect_time(self.state.now());
        let connect = timeout(CHECK_TIMEOUT, TcpStream::connect(entry.address)).await;
        let refused =
            matches!(connect, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused);
        if !refused || self.state.is_leaving(entry.id.key()) {
            return;
        }
        self.state.telemetry.crashed_calls.inc();
        let count = if self.is_sound {
            1
        } else {
            self.suspects.len()
        };
        let suspects = &self.suspects[..count];
        let parts: Vec<String> = suspects[1..].iter().map(ToString::to_string).collect();
        spdlog::info!("upstream-crashed", kv: {
            id: = self.request_id(), upstream: = entry.id, service: = self.service,
            call: = suspects[0], parts: = parts.join(","), events: = self.progress.event_count()
        });
        let upstream = entry.id.key().into();
        let mut work = self.state.board.suspects();
        work.record_crash(suspects, upstream, broken_at);
    }

    /// Records that the answer goes on after its first events.
    pub(super) fn record_sound(&mut self) {
        if !std::mem::replace(&mut self.is_sound, true) && self.suspects.len() > 1 {
            let now = suspect_time(self.state.now());
            let mut work = self.state.board.suspects();
            work.record_sound(&self.suspects[1..], now);
        }
    }

    /// Records that the answer is complete.
    pub(super) fn record_complete(&mut self) {
        self.record_sound();
        let now = suspect_time(self.state.now());
        let mut work = self.state.board.suspects();
        work.record_sound(&self.suspects[..1], now);
    }

    /// Returns the failure to report if a suspect of the call is held.
    pub(super) fn find_hold(&self) -> Option<CallFailure> {
        let now = suspect_time(self.state.now());
        match self.state.decide_suspects(&self.suspects, now) {
            SuspectDecision::Send => None,
            SuspectDecision::Trial(held) => {
                spdlog::info!("suspect-trial", kv: {
                    id: = self.request_id(), kind: = held.tag.kind(), tag: = held.tag, crashes: = held.crashes,
                    last_crash_ms: = now.since(held.last_crash).as_millis()
                });
                None
            }
            SuspectDecision::Hold { held, retry_after } => {
                if self.state.may_log_refusal() {
                    spdlog::info!("call-held", kv: {
                        id: = self.request_id(), kind: = held.tag.kind(), tag: = held.tag, crashes: = held.crashes,
                        first_crash_ms: = now.since(held.first_crash).as_millis(),
                        last_crash_ms: = now.since(held.last_crash).as_millis(),
                        retry_after_ms: = retry_after.as_millis(),
                        verdict:? = self.attempts.verdict()
                    });
                }
                Some(self.attempts.refused(CallFailure::Held(retry_after)))
            }
        }
    }
}
