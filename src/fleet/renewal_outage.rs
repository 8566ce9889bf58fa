//! Decides whether upstreams may have been unable to renew their entries in the store, so that a
//! removal may be an expiry, and how long such an entry stays in use.

use std::time::Duration;

use crate::mono::MonoTime;

/// How long an entry that may have expired in an outage stays in use after the store is available
/// again. The store's contract gives upstreams two seconds to register again.
pub const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// Shortest outage in which an entry can expire: upstreams miss several check-ins, which are a
/// second or so apart.
const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(500);

/// How long an upstream that leaves serves after the removal of its entry, unless the settings say.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time that a request may be on its way to an upstream.
const TRANSIT_MARGIN: Duration = Duration::from_millis(50);

/// How a request to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFailure {
    /// The store did not accept the connection or the request, or it sent no valid response in time.
    /// Upstreams may have met the same.
    Unavailable,
    /// The connection closed while the request waited for changes. The store may do so at any time,
    /// whether or not it takes renewals.
    WatchCut,
    /// The store has discarded the requested changes, but takes renewals.
    HistoryLost,
    /// This process was paused, which does not keep upstreams from renewing their entries.
    ProcessPaused,
}

impl StoreFailure {
    /// Whether the same may have kept upstreams from renewing their entries.
    fn hinders_renewals(self) -> bool {
        self == Self::Unavailable
    }
}

/// A time in which upstreams may have been unable to renew their entries.
#[derive(Clone, Copy, Debug)]
struct OutageSpan {
    /// When the store was last known to be available before.
    began: MonoTime,
    /// When it responded again; `None` while the outage goes on.
    ended: Option<MonoTime>,
}

/// The latest outage of the store, as far as it concerns upstreams.
#[derive(Clone, Copy, Debug)]
pub struct RenewalOutage {
    /// How long an upstream serves after the removal of its entry, if it leaves.
    drain_time: Duration,
    latest: Option<OutageSpan>,
    /// The last two times at which the store responded.
    responses: [Option<MonoTime>; 2],
    /// When the last connection on which a request waited closed, if that was after the last
    /// response.
    cut: Option<MonoTime>,
}

impl Default for RenewalOutage {
    fn default() -> Self {
        Self {
            drain_time: DEFAULT_DRAIN_TIME,
            latest: None,
            responses: [None; 2],
            cut: None,
        }
    }
}

impl RenewalOutage {
    /// Changes how long upstreams serve after the removal of their entries.
    pub fn set_drain_time(&mut self, drain_time: Duration) {
        self.drain_time = drain_time;
    }

    /// Records a failed request. A second cut without a response in between is no chance any more.
    pub fn record_failure(&mut self, failure: StoreFailure, now: MonoTime) {
        let is_first_cut = failure == StoreFailure::WatchCut && self.cut.is_none();
        if is_first_cut {
            self.cut = Some(now);
        }
        if is_first_cut || !(failure.hinders_renewals() || failure == StoreFailure::WatchCut) {
            return;
        }
        let continues = self.latest.is_some_and(|outage| {
            let ended = outage.ended;
            ended.is_none_or(|ended| now.since(ended) < EXPIRY_GRACE)
        });
        // A store that fails again soon after an outage may have let nothing through meanwhile.
        let began = match self.latest {
            Some(outage) if continues => outage.began,
            _ => self.cut.or(self.responses[0]).unwrap_or(now),
        };
        self.latest = Some(OutageSpan { began, ended: None });
    }

    /// Records a response of the store, which ends an outage.
    pub fn record_response(&mut self, now: MonoTime) {
        if let Some(outage) = &mut self.latest {
            outage.ended.get_or_insert(now);
        }
        self.responses = [Some(now), self.responses[0]];
        self.cut = None;
    }

    /// Records that the store was restored from an older copy: entries that it lacks may be
    /// registered again, as after an outage.
    pub fn record_restore(&mut self, now: MonoTime) {
        self.latest = Some(OutageSpan {
            began: MonoTime::default(),
            ended: Some(now),
        });
    }

    /// Returns how much longer an entry stays in use whose removal the store reports now; zero if the
    /// removal can't be an expiry.
    ///
    /// An upstream may also have left. If it did so while the store was available, it must not be
    /// used beyond its drain time, which is counted from the last response that did not report the
    /// removal.
    pub fn expiry_grace(&self, now: MonoTime) -> Duration {
        let Some(outage) = self.latest else {
            return Duration::ZERO;
        };
        let ended = outage.ended.unwrap_or(now);
        let mut until = ended + EXPIRY_GRACE;
        let earlier = self.responses.into_iter().flatten().find(|&at| at < now);
        let listed_at = match earlier {
            Some(at) if at >= ended => Some(at),
            _ if ended.since(outage.began) < MIN_EXPIRY_OUTAGE => Some(outage.began),
            _ => None,
        };
        if let Some(at) = listed_at {
            until = until.min((at + self.drain_time).saturating_sub(TRANSIT_MARGIN));
        }
        until.since(now)
    }
}
