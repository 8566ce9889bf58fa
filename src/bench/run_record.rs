//! The outcome of each request of a simulated run, and statistics computed from it.

use std::time::Duration;

use crate::ids::{AccountKey, ChatKey, EngineKey};
use crate::mono::MonoTime;
use crate::policy::refusal::WorkRefusal;
use crate::rules::WorkRank;

/// The state of a request at the end of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The request is still waiting or running.
    Pending,
    /// The router refused the request.
    Refused {
        /// Time of the refusal.
        at: MonoTime,
        /// The reason, and when the caller may retry.
        refusal: WorkRefusal,
    },
    /// The response was complete at this time.
    Done(MonoTime),
    /// The engine crashed while it had the request, or had crashed before it was submitted.
    Lost(MonoTime),
}

/// The history of one request of a run.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Rank under which the request was scheduled.
    pub rank: WorkRank,
    /// Client account that sent the request.
    pub account: AccountKey,
    /// Chat that the request continues.
    pub chat: ChatKey,
    /// Time of arrival at its router.
    pub accepted: MonoTime,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Prompt tokens that were cached on the engine when the request was first submitted.
    pub cached: u32,
    /// Engine that last ran the request; `None` until it first gets a slot.
    pub engine: Option<EngineKey>,
    /// Time at which the request first got a slot; `None` until then.
    pub started: Option<MonoTime>,
    /// Time of the last transition between waiting and running.
    pub state_since: MonoTime,
    /// Number of times that the request got a slot; more than one after a preemption.
    pub slot_grants: u32,
    /// Final state, or `Pending` while the request is in progress.
    pub outcome: RequestOutcome,
}

impl RequestRecord {
    /// Returns the time from arrival to the end of the response, or `None` if the request did not
    /// complete.
    pub fn latency(&self) -> Option<Duration> {
        match self.outcome {
            RequestOutcome::Done(at) => Some(at.since(self.accepted)),
            _ => None,
        }
    }
}

/// A period in which one request waited or occupied a slot.
#[derive(Clone, Copy, Debug)]
pub struct RankSpan {
    /// Rank of the request.
    pub rank: WorkRank,
    /// Start of the period.
    pub from: MonoTime,
    /// End of the period.
    pub to: MonoTime,
}

/// Traffic between one router and the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouterTraffic {
    /// Bytes sent and received.
    pub bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
}

/// The load of an engine directly after it was given a request.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLoad {
    /// Time of the admission.
    pub at: MonoTime,
    /// Requests on the engine, including this one.
    pub load: u32,
    /// Requests per engine that is up, including this one. All engines have the same number of
    /// slots, so this is also the engine's share by slots.
    pub mean: f64,
    /// Whether the engine is the first in the chat's rendezvous order among engines that are up.
    pub on_first_choice: bool,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Requests in the order of arrival.
    pub requests: Vec<RequestRecord>,
    /// Traffic between routers, by router index.
    pub traffic: Vec<RouterTraffic>,
    /// Periods of waiting that ended with a slot.
    pub wait_spans: Vec<RankSpan>,
    /// Periods in which a request occupied a slot.
    pub slot_spans: Vec<RankSpan>,
    /// Engine loads at each admission, in order of time.
    pub admissions: Vec<AdmissionLoad>,
    /// Time of the last event.
    pub end: MonoTime,
}

impl RunRecord {
    /// Returns the requests of a rank that arrived in `from..to`, in seconds.
    pub fn of_rank(
        &self,
        rank: WorkRank,
        from: f64,
        to: f64,
    ) -> impl Iterator<Item = &RequestRecord> {
        self.requests.iter().filter(move |request| {
            let at = request.accepted.0.as_secs_f64();
            request.rank == rank && at >= from && at < to
        })
    }

    /// Returns the share of a rank's requests that completed within `target`, among those that
    /// arrived in `from..to`, in seconds.
    pub fn share_within(&self, rank: WorkRank, target: Duration, from: f64, to: f64) -> f64 {
        let mut all = 0_u32;
        let mut within_target = 0_u32;
        for request in self.of_rank(rank, from, to) {
            all += 1;
            within_target += u32::from(request.latency().is_some_and(|latency| latency <= target));
        }
        f64::from(within_target) / f64::from(all.max(1))
    }

    /// Returns the latency, in seconds, within which `share` of a rank's completed requests ended,
    /// among those that arrived in `from..to`, in seconds.
    pub fn quantile(&self, rank: WorkRank, share: f64, from: f64, to: f64) -> f64 {
        let latencies = self
            .of_rank(rank, from, to)
            .filter_map(RequestRecord::latency);
        quantile(
            latencies.map(|latency| latency.as_secs_f64()).collect(),
            share,
        )
    }

    /// Returns the average number of slots that a rank occupied in `from..to`, in seconds.
    pub fn mean_slots(&self, rank: WorkRank, from: f64, to: f64) -> f64 {
        mean_concurrency(&self.slot_spans, rank, from, to)
    }

    /// Returns the average number of waiting requests of a rank in `from..to`, in seconds. Waits
    /// that did not end with a slot are not counted.
    pub fn mean_waiting(&self, rank: WorkRank, from: f64, to: f64) -> f64 {
        mean_concurrency(&self.wait_spans, rank, from, to)
    }

    /// Records that a request got a slot.
    pub fn start(&mut self, index: usize, now: MonoTime, engine: EngineKey) {
        let record = &mut self.requests[index];
        self.wait_spans.push(record.span(now));
        record.state_since = now;
        record.started.get_or_insert(now);
        record.engine = Some(engine);
        record.slot_grants += 1;
    }

    /// Records that a request was preempted and waits again.
    pub fn preempt(&mut self, index: usize, now: MonoTime) {
        let record = &mut self.requests[index];
        self.slot_spans.push(record.span(now));
        record.state_since = now;
    }

    /// Records the outcome of a request. Returns `false`, without recording it, if the request
    /// already had one.
    pub fn finish(&mut self, index: usize, now: MonoTime, outcome: RequestOutcome) -> bool {
        let record = &mut self.requests[index];
        if record.outcome != RequestOutcome::Pending {
            return false;
        }
        record.outcome = outcome;
        if matches!(outcome, RequestOutcome::Done(_) | RequestOutcome::Lost(_)) {
            self.slot_spans.push(record.span(now));
        }
        true
    }

    /// Returns the traffic of the busiest router, in bytes per second averaged over the run.
    pub fn peak_bytes_per_second(&self) -> f64 {
        let peak = self
            .traffic
            .iter()
            .map(|traffic| traffic.bytes)
            .max()
            .unwrap_or(0);
        peak as f64 / self.end.0.as_secs_f64().max(1e-9)
    }
}

impl RequestRecord {
    fn span(&self, to: MonoTime) -> RankSpan {
        RankSpan {
            rank: self.rank,
            from: self.state_since,
            to,
        }
    }
}

fn mean_concurrency(spans: &[RankSpan], rank: WorkRank, from: f64, to: f64) -> f64 {
    let of_rank = spans.iter().filter(|span| span.rank == rank);
    let overlap = of_rank.map(|span| {
        let start = span.from.0.as_secs_f64().max(from);
        (span.to.0.as_secs_f64().min(to) - start).max(0.0)
    });
    overlap.sum::<f64>() / (to - from)
}

/// Returns the smallest value that at least `share` of the values don't exceed, or zero if there
/// are no values.
pub fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len());
    values[index - 1]
}
