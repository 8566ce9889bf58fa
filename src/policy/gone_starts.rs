//! Starts of upstreams that are gone: another upstream has taken over their addresses.
//!
//! An upstream that is named in a call and is not the one that receives it says so. The named one has
//! ended then, but its entry stays until it expires, and calls that are sent there meanwhile are
//! wasted. A mark ends early if the start answers after all.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::UpstreamStart;
use crate::mono::MonoTime;

/// Time for which a start counts as gone without a new report, longer than the entry of an ended
/// upstream lasts.
const MARK_EXPIRY: Duration = Duration::from_secs(5);

/// The starts that this router has found gone, with the times of the reports.
#[derive(Clone, Debug, Default)]
pub struct GoneStarts {
    /// Bounded by the number of registered upstreams and those that lately were, see
    /// [`Self::remove_expired`].
    marks: BTreeMap<UpstreamStart, MonoTime>,
}

impl GoneStarts {
    /// Records that another upstream has the address of this start. Returns whether this is news.
    pub fn record(&mut self, start: UpstreamStart, now: MonoTime) -> bool {
        let is_known = self.contains(start, now);
        self.marks.insert(start, now);
        !is_known
    }

    /// Records that the start answered a call. Returns whether it counted as gone.
    pub fn record_answer(&mut self, start: UpstreamStart) -> bool {
        self.marks.remove(&start).is_some()
    }

    /// Returns whether the start is known to be gone.
    pub fn contains(&self, start: UpstreamStart, now: MonoTime) -> bool {
        let reported = self.marks.get(&start);
        reported.is_some_and(|&at| now.since(at) <= MARK_EXPIRY)
    }

    /// Removes marks that hold no longer.
    pub fn remove_expired(&mut self, now: MonoTime) {
        self.marks.retain(|_, at| now.since(*at) <= MARK_EXPIRY);
    }

    pub fn len(&self) -> usize {
        self.marks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }
}
