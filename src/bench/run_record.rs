//! What became of each request of a run, and the figures drawn from it.

use std::time::Duration;

use crate::ids::{AccountKey, ChatKey, EngineKey};
use crate::mono::MonoTime;
use crate::policy::refusal::WorkRefusal;
use crate::rules::WorkRank;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEnd {
    /// It still waits or runs.
    Open,
    /// It was refused.
    Refused {
        /// When.
        at: MonoTime,
        /// Why, and when to try again.
        refusal: WorkRefusal,
    },
    /// Its answer is whole.
    Done(MonoTime),
    /// Its engine died.
    Lost(MonoTime),
}

/// One request of a run.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Its rank.
    pub rank: WorkRank,
    /// Who asked.
    pub account: AccountKey,
    /// The chat it belongs to.
    pub chat: ChatKey,
    /// When it came.
    pub accepted: MonoTime,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Prompt tokens that its engine had cached.
    pub cached: u32,
    /// The engine that ran it.
    pub engine: Option<EngineKey>,
    /// When it first got a slot.
    pub started: Option<MonoTime>,
    /// When it last began to wait or to run.
    pub since: MonoTime,
    /// How often it got a slot.
    pub stints: u32,
    /// How it ended.
    pub end: RequestEnd,
}

impl RequestRecord {
    /// Time from arrival to the end of the answer.
    pub fn latency(&self) -> Option<Duration> {
        match self.end {
            RequestEnd::Done(at) => Some(at.since(self.accepted)),
            _ => None,
        }
    }
}

/// A stretch of time that a request waited or held a slot.
#[derive(Clone, Copy, Debug)]
pub struct RankSpan {
    /// Its rank.
    pub rank: WorkRank,
    /// When it began.
    pub from: MonoTime,
    /// When it ended.
    pub to: MonoTime,
}

/// Traffic between routers, seen from one of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouterTraffic {
    /// Bytes sent and received.
    pub bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
}

/// An admission and how loaded it left its engine.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLoad {
    /// When.
    pub at: MonoTime,
    /// Requests on the engine, with this one.
    pub load: u32,
    /// The mean that is due to the engine by its share of the slots, with this one.
    pub mean: f64,
    /// Whether the chat's first choice took it.
    pub on_first_choice: bool,
}

/// Everything that a run left behind.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Requests in the order of arrival.
    pub requests: Vec<RequestRecord>,
    /// Traffic by router.
    pub traffic: Vec<RouterTraffic>,
    /// Stretches of waiting that ended with a slot.
    pub waits: Vec<RankSpan>,
    /// Stretches of holding a slot.
    pub stints: Vec<RankSpan>,
    /// Admissions in order.
    pub admissions: Vec<AdmissionLoad>,
    /// End of the run.
    pub end: MonoTime,
}

impl RunRecord {
    /// Requests of a rank that came in a stretch of time.
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

    /// Share of a rank's requests that were answered within `target`.
    pub fn good_share(&self, rank: WorkRank, target: Duration, from: f64, to: f64) -> f64 {
        let mut all = 0_u32;
        let mut good = 0_u32;
        for request in self.of_rank(rank, from, to) {
            all += 1;
            good += u32::from(request.latency().is_some_and(|latency| latency <= target));
        }
        f64::from(good) / f64::from(all.max(1))
    }

    /// Seconds within which `share` of a rank's answers ended.
    pub fn quantile(&self, rank: WorkRank, share: f64, from: f64, to: f64) -> f64 {
        let latencies = self
            .of_rank(rank, from, to)
            .filter_map(RequestRecord::latency);
        quantile(
            latencies.map(|latency| latency.as_secs_f64()).collect(),
            share,
        )
    }

    /// Slots that a rank held on average between two seconds.
    pub fn mean_slots(&self, rank: WorkRank, from: f64, to: f64) -> f64 {
        mean_count(&self.stints, rank, from, to)
    }

    /// Requests of a rank that waited on average between two seconds and were served later.
    pub fn mean_waiting(&self, rank: WorkRank, from: f64, to: f64) -> f64 {
        mean_count(&self.waits, rank, from, to)
    }

    /// Notes that a request got a slot.
    pub fn start(&mut self, index: usize, now: MonoTime, engine: EngineKey) {
        let record = &mut self.requests[index];
        self.waits.push(record.span(now));
        record.since = now;
        record.started.get_or_insert(now);
        record.engine = Some(engine);
        record.stints += 1;
    }

    /// Notes that a request gave its slot up and waits again.
    pub fn pause(&mut self, index: usize, now: MonoTime) {
        let record = &mut self.requests[index];
        self.stints.push(record.span(now));
        record.since = now;
    }

    /// Notes the end of a request; false when it had ended before.
    pub fn finish(&mut self, index: usize, now: MonoTime, end: RequestEnd) -> bool {
        let record = &mut self.requests[index];
        if record.end != RequestEnd::Open {
            return false;
        }
        record.end = end;
        if matches!(end, RequestEnd::Done(_) | RequestEnd::Lost(_)) {
            self.stints.push(record.span(now));
        }
        true
    }

    /// Bytes a second of the busiest router.
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
            from: self.since,
            to,
        }
    }
}

fn mean_count(spans: &[RankSpan], rank: WorkRank, from: f64, to: f64) -> f64 {
    let of_rank = spans.iter().filter(|span| span.rank == rank);
    let overlap = of_rank.map(|span| {
        let start = span.from.0.as_secs_f64().max(from);
        (span.to.0.as_secs_f64().min(to) - start).max(0.0)
    });
    overlap.sum::<f64>() / (to - from)
}

/// The value below which `share` of the values lie; zero for none.
pub fn quantile(mut values: Vec<f64>, share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len());
    values[index - 1]
}
