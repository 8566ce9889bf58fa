//! Membership of the fleet by gossip: the known routers and the time since each one's last
//! heartbeat.
//!
//! Heartbeats carry ages instead of timestamps, so clocks of different VMs are never compared, and
//! a member whose heartbeats no router receives any more expires at every router.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::ids::{DataCenterTag, IncarnationId};
use crate::mono::MonoTime;

/// Time between two rounds of heartbeats.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(250);

/// Number of known members that receive a heartbeat in one round.
pub const ROUND_FANOUT: usize = 3;

/// Number of members that a router informs at once of a change that it has learned of. With four,
/// all but a few members of a data centre hear of it within some round trips, and these few with
/// the next heartbeats.
const NOTICE_FANOUT: usize = 4;

/// Number of records of other members in one heartbeat. More would exceed the budget of 5 KB/s that
/// a router has for control traffic.
const FRAME_RECORDS: usize = 13;

/// Number of rounds without a heartbeat after which a member that sends directly to this router
/// counts as down. Several datagrams in a row may be lost.
const DOWN_ROUNDS: f64 = 4.0;

/// Factor on the mean number of rounds that a record takes to reach all members, because the
/// slowest members receive it later than the mean.
const SPREAD_MULTIPLE: f64 = 1.5;

/// Time without a heartbeat after which a member is removed from the table.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Time after which the lag of a member is forgotten, longer than any stream that began meanwhile.
const LAG_MEMORY: Duration = Duration::from_mins(1);

/// Interval, in rounds, of heartbeats to seeds that aren't live.
const SEED_ROUNDS: u64 = 2;

/// Lifecycle stage of a router as reported to its peers. Later stages compare greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemberStage {
    /// Has no configuration or no upstreams yet.
    Booting,
    /// Accepts calls.
    Serving,
    /// Finishes its open calls, then exits.
    Leaving,
}

/// State of one member as gossip carries it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// Address of the VM.
    pub address: Ipv4Addr,
    /// Identifies the run of the process; a restart has a new one.
    pub incarnation: IncarnationId,
    pub stage: MemberStage,
    /// Data centre of the VM.
    pub data_center: DataCenterTag,
}

#[derive(Clone, Copy, Debug)]
struct MemberView {
    record: MemberRecord,
    last_heard: MonoTime,
}

/// The other members known to this router, and its own record.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    seeds: Vec<Ipv4Addr>,
    views: BTreeMap<Ipv4Addr, MemberView>,
    /// How late members were that have news again: since when they have, and the longest lag.
    lags: BTreeMap<Ipv4Addr, (MonoTime, Duration)>,
    rounds: u64,
}

impl MemberTable {
    /// Creates a table that contains only this router and the seeds.
    pub fn new(own: MemberRecord, seeds: Vec<Ipv4Addr>) -> Self {
        Self {
            own,
            seeds: seeds
                .into_iter()
                .filter(|&seed| seed != own.address)
                .collect(),
            views: BTreeMap::new(),
            lags: BTreeMap::new(),
            rounds: 0,
        }
    }

    /// The record that this router sends about itself.
    pub fn own(&self) -> MemberRecord {
        self.own
    }

    /// Sets this router's stage; returns whether it changed.
    pub fn set_stage(&mut self, stage: MemberStage) -> bool {
        let changed = self.own.stage != stage;
        self.own.stage = stage;
        changed
    }

    /// Replaces the seeds; this router's own address is left out.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        let own = self.own.address;
        self.seeds = seeds.into_iter().filter(|&seed| seed != own).collect();
    }

    /// Merges a heartbeat received from the member itself. Returns true if the member is new, was
    /// down or has a changed record.
    pub fn merge_heartbeat(&mut self, record: MemberRecord, now: MonoTime) -> bool {
        if record.address == self.own.address {
            return false;
        }
        let limit = self.down_after();
        let before = self.views.insert(
            record.address,
            MemberView {
                record,
                last_heard: now,
            },
        );
        if let Some(view) = before {
            self.end_silence(record.address, view.last_heard, now);
        }
        before.is_none_or(|view| view.record != record || now.since(view.last_heard) > limit)
    }

    /// Records that a member was heard of at `now`, after `last_heard`.
    fn end_silence(&mut self, address: Ipv4Addr, last_heard: MonoTime, now: MonoTime) {
        let silence = now.since(last_heard);
        if silence > self.down_after() {
            self.record_lag(address, silence, now);
        }
    }

    /// Records that the news of a member are this old.
    pub fn record_lag(&mut self, address: Ipv4Addr, lag: Duration, now: MonoTime) {
        let (at, longest) = self.lags.entry(address).or_default();
        *at = now;
        *longest = lag.max(*longest);
    }

    /// How late the news of a member were lately, at most. A member that did not leave may have none
    /// since it was heard of.
    pub fn longest_lag(&self, now: MonoTime) -> Duration {
        let limit = self.down_after();
        let remembered = self.lags.values().map(|&(_, lag)| lag);
        let present = self.views.values();
        let present = present.filter(|view| view.record.stage != MemberStage::Leaving);
        let silences = present.map(|view| now.since(view.last_heard));
        let silences = silences.filter(|&silence| silence > limit);
        silences.chain(remembered).max().unwrap_or_default()
    }

    /// Merges a record relayed by another member, which had it from the member itself `age` ago.
    /// Returns true if the record was added or changed.
    pub fn merge_relayed(&mut self, record: MemberRecord, age: Duration, now: MonoTime) -> bool {
        if record.address == self.own.address || age > self.down_after() {
            return false;
        }
        let last_heard = now.saturating_sub(age);
        let Some(view) = self.views.get_mut(&record.address) else {
            self.views
                .insert(record.address, MemberView { record, last_heard });
            return true;
        };
        let same = view.record.incarnation == record.incarnation;
        // `Leaving` is final within an incarnation: it is accepted even from an older record, and a
        // newer record with an earlier stage doesn't revert it.
        let leaving = same && record.stage == MemberStage::Leaving;
        if last_heard <= view.last_heard && !leaving {
            return false;
        }
        let mut record = record;
        if same {
            record.stage = record.stage.max(view.record.stage);
        }
        let changed = view.record != record;
        let before = view.last_heard;
        view.record = record;
        view.last_heard = before.max(last_heard);
        self.end_silence(record.address, before, last_heard);
        changed
    }

    /// Starts a round: removes expired members and returns the addresses to send a heartbeat to.
    pub fn begin_round<R: Rng>(&mut self, now: MonoTime, rng: &mut R) -> Vec<Ipv4Addr> {
        self.rounds += 1;
        self.views
            .retain(|_, view| now.since(view.last_heard) <= FORGET_AFTER);
        self.lags.retain(|_, (at, _)| now.since(*at) <= LAG_MEMORY);
        let known: Vec<Ipv4Addr> = self.views.keys().copied().collect();
        let mut targets: Vec<Ipv4Addr> = known.sample(rng, ROUND_FANOUT).copied().collect();
        if self.rounds % SEED_ROUNDS == 1 {
            let down = self.seeds.iter().filter(|seed| !self.is_live(**seed, now));
            targets.extend(down.copied());
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// A random sample of live members for a heartbeat, each with the age of its record.
    pub fn frame_records<R: Rng>(
        &self,
        now: MonoTime,
        rng: &mut R,
    ) -> Vec<(MemberRecord, Duration)> {
        let limit = self.down_after();
        let fresh: Vec<(MemberRecord, Duration)> = self
            .views
            .values()
            .map(|view| (view.record, now.since(view.last_heard)))
            .filter(|&(_, age)| age <= limit)
            .collect();
        fresh.sample(rng, FRAME_RECORDS).copied().collect()
    }

    /// Addresses of all other members in the table, live or not.
    pub fn known(&self) -> Vec<Ipv4Addr> {
        self.views.keys().copied().collect()
    }

    /// Records of all other members in the table, live or not.
    pub fn known_records(&self) -> Vec<MemberRecord> {
        self.views.values().map(|view| view.record).collect()
    }

    /// Records of the live members, including this router.
    pub fn live(&self, now: MonoTime) -> Vec<MemberRecord> {
        let limit = self.down_after();
        let mut live: Vec<MemberRecord> = self
            .views
            .values()
            .filter(|view| now.since(view.last_heard) <= limit)
            .map(|view| view.record)
            .collect();
        live.push(self.own);
        live
    }

    /// An upper estimate of the number of routers. It includes members that are down and seeds that
    /// aren't in the table, so a network partition doesn't reduce it at once.
    pub fn fleet_size(&self) -> usize {
        let unseen = self
            .seeds
            .iter()
            .filter(|seed| !self.views.contains_key(*seed));
        1 + self.views.len() + unseen.count()
    }

    /// A live member other than this one, chosen at random, or `None` if there is none.
    pub fn random_live<R: Rng>(&self, now: MonoTime, rng: &mut R) -> Option<Ipv4Addr> {
        let live: Vec<Ipv4Addr> = self
            .views
            .keys()
            .copied()
            .filter(|&address| self.is_live(address, now))
            .collect();
        if live.is_empty() {
            return None;
        }
        Some(live[rng.random_range(0..live.len())])
    }

    /// Data centre of a member, if it is known.
    pub fn data_center(&self, address: Ipv4Addr) -> Option<DataCenterTag> {
        self.views.get(&address).map(|view| view.record.data_center)
    }

    /// Up to [`NOTICE_FANOUT`] live members of this router's data centre, drawn at random, to inform
    /// at once of a change.
    pub fn notice_targets<R: Rng>(&self, now: MonoTime, rng: &mut R) -> Vec<Ipv4Addr> {
        let limit = self.down_after();
        let local: Vec<Ipv4Addr> = self
            .views
            .iter()
            .filter(|(_, view)| {
                view.record.data_center == self.own.data_center
                    && now.since(view.last_heard) <= limit
            })
            .map(|(&address, _)| address)
            .collect();
        local.sample(rng, NOTICE_FANOUT).copied().collect()
    }

    /// Up to [`NOTICE_FANOUT`] live members of any data centre, drawn at random.
    pub fn any_targets<R: Rng>(&self, now: MonoTime, rng: &mut R) -> Vec<Ipv4Addr> {
        let known = self.views.keys().copied();
        let live: Vec<Ipv4Addr> = known
            .filter(|&address| self.is_live(address, now))
            .collect();
        live.sample(rng, NOTICE_FANOUT).copied().collect()
    }

    /// Whether a heartbeat of the member was received within the time limit.
    pub fn is_live(&self, address: Ipv4Addr, now: MonoTime) -> bool {
        let limit = self.down_after();
        self.views
            .get(&address)
            .is_some_and(|view| now.since(view.last_heard) <= limit)
    }

    /// Time without a heartbeat after which a member counts as down. With `n` members, each round
    /// multiplies the number of members that have a given record by `1 + fanout * records / n`.
    fn down_after(&self) -> Duration {
        let members = (self.views.len() + 1).max(2) as f64;
        let relayed = FRAME_RECORDS.min(self.views.len().max(1)) as f64;
        let growth = 1.0 + ROUND_FANOUT as f64 * relayed / members;
        let spread = members.ln() / growth.ln();
        GOSSIP_PERIOD.mul_f64(DOWN_ROUNDS + SPREAD_MULTIPLE * spread)
    }
}
