//! Decides whether this router reads the store itself.
//!
//! A few routers of each data centre watch the store and the others take changes from them, so that
//! the number of calls to the store grows much more slowly than the fleet. No router leads: every
//! router knows up to which time it has all changes, its own reads and heartbeats of peers move that
//! time forward, and a router that falls behind reads the store itself. Whatever stops the readers,
//! be it a crash, a pause, a partition or a refusal by the store, shows in that time alone.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::member_table::{MemberRecord, MemberStage, MemberTable};
use crate::fleet::store_stamp::StoreStamp;
use crate::ids::DataCenterTag;
use crate::mono::MonoTime;

/// Fewest readers in a fleet. Smaller fleets consist of readers only.
const MIN_READERS: f64 = 4.0;

/// Share of the time in which a change must apply after which a router without news reads the store
/// itself. The rest covers the period of the checks and the read.
const STALE_SHARE: f64 = 0.7;

/// Share of the stale limit below which a router that is not on the roster leaves the reading to
/// others again.
const FRESH_SHARE: f64 = 0.7;

/// A statement about the store: at some time `stamp` was its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreReport {
    /// State up to which the sender has all changes.
    pub stamp: StoreStamp,
    /// How long ago this was the newest state.
    pub age: Duration,
}

/// Whether this router reads the store, and the age of what it knows.
#[derive(Clone, Debug)]
pub struct StoreRole {
    stale_limit: Duration,
    reading: bool,
    /// Time up to which this router has all changes, from its own reads and from peers.
    confirmed: Option<MonoTime>,
    /// The same from peers alone: whether others read for this router must not depend on its own
    /// reads.
    relayed: Option<MonoTime>,
}

impl StoreRole {
    /// Creates the role of a router that reads the store, as every router does at its start.
    /// `apply_limit` is the time within which a change must apply.
    pub fn new(apply_limit: Duration) -> Self {
        Self {
            stale_limit: apply_limit.mul_f64(STALE_SHARE),
            reading: true,
            confirmed: None,
            relayed: None,
        }
    }

    /// Replaces the time within which a change must apply.
    pub fn set_apply_limit(&mut self, apply_limit: Duration) {
        self.stale_limit = apply_limit.mul_f64(STALE_SHARE);
    }

    /// Returns whether this router reads the store.
    pub fn is_reading(&self) -> bool {
        self.reading
    }

    /// Returns the age of this router's knowledge, or `None` if it has none.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Records a response of the store, after its changes were merged.
    pub fn record_read(&mut self, now: MonoTime) {
        self.confirmed = self.confirmed.max(Some(now));
    }

    /// Records a peer's report. It counts only if this router has all changes that the peer has, up
    /// to `own`. A report of an earlier era says nothing about the time since the store was restored.
    pub fn record_report(&mut self, report: StoreReport, own: StoreStamp, now: MonoTime) {
        let covers = own >= report.stamp && own.era == report.stamp.era;
        // A time before the start of this process's clock can't be expressed.
        if covers && own > StoreStamp::default() && report.age <= now.0 {
            let at = Some(now.saturating_sub(report.age));
            self.relayed = self.relayed.max(at);
            self.confirmed = self.confirmed.max(at);
        }
    }

    /// Discards what is known about the age, after a pause of this process.
    pub fn forget(&mut self) {
        self.confirmed = None;
        self.relayed = None;
    }

    /// Decides again whether this router reads the store. Returns true if that has changed.
    pub fn update(&mut self, members: &MemberTable, now: MonoTime) -> bool {
        let share = if self.reading { FRESH_SHARE } else { 1.0 };
        let limit = self.stale_limit.mul_f64(share);
        let fresh = self.relayed.is_some_and(|at| now.since(at) <= limit);
        let before = self.reading;
        self.reading = !fresh || is_on_roster(members.own(), &members.live(now));
        self.reading != before
    }
}

/// Returns whether a router is one of the readers of its data centre: the first ones by the hash of
/// their addresses. Routers that disagree about the members choose a reader too many or too few for
/// a while, which does no harm.
fn is_on_roster(own: MemberRecord, live: &[MemberRecord]) -> bool {
    let candidates: Vec<&MemberRecord> = live
        .iter()
        .filter(|record| record.stage != MemberStage::Leaving)
        .collect();
    let data_centers: BTreeSet<DataCenterTag> =
        candidates.iter().map(|record| record.data_center).collect();
    let readers = MIN_READERS.max((candidates.len() as f64).sqrt().ceil());
    let quota = (readers / data_centers.len().max(1) as f64).ceil() as usize;
    let score = |address: Ipv4Addr| xxh3_64(&address.octets());
    let ahead = candidates.iter().filter(|record| {
        record.data_center == own.data_center && score(record.address) > score(own.address)
    });
    ahead.count() < quota
}
