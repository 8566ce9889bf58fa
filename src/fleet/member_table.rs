//! Which routers exist, and how lately each was heard.
//!
//! Members tell each other the ages of what they heard, so no clocks are compared and a member
//! that nobody hears any more fades everywhere.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::ids::IncarnationId;
use crate::mono::MonoTime;

/// Time between two rounds of heartbeats.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(250);

/// Members that one round of heartbeats goes to.
pub const ROUND_FANOUT: usize = 3;

/// Records that one heartbeat carries beside the sender's: more would take a router over the 5 KB/s
/// that it may spend on control.
const FRAME_RECORDS: usize = 15;

/// Rounds of silence after which a member counts as down, where news need no one in between: a
/// few datagrams in a row may be lost.
const DOWN_ROUNDS: f64 = 4.0;

/// Multiple of the mean number of rounds that news take to everybody: the tail is longer.
const SPREAD_MULTIPLE: f64 = 1.5;

/// Silence after which a member is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Rounds between two heartbeats to seeds that aren't live.
const SEED_ROUNDS: u64 = 2;

/// How far a router is in its life, as its peers see it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemberStage {
    /// Lacks a configuration or upstreams.
    Booting,
    /// Takes callers.
    Serving,
    /// Finishes its calls and then ends.
    Leaving,
}

/// What members tell of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberRecord {
    /// Address of the VM.
    pub address: Ipv4Addr,
    /// Run of its process.
    pub incarnation: IncarnationId,
    /// How far it is in its life.
    pub stage: MemberStage,
}

#[derive(Clone, Copy, Debug)]
struct MemberView {
    record: MemberRecord,
    heard: MonoTime,
}

/// The members that this router knows.
#[derive(Debug)]
pub struct MemberTable {
    own: MemberRecord,
    seeds: Vec<Ipv4Addr>,
    views: BTreeMap<Ipv4Addr, MemberView>,
    rounds: u64,
}

impl MemberTable {
    /// A table that knows only this router and the seeds.
    pub fn new(own: MemberRecord, seeds: Vec<Ipv4Addr>) -> Self {
        Self {
            own,
            seeds: seeds
                .into_iter()
                .filter(|&seed| seed != own.address)
                .collect(),
            views: BTreeMap::new(),
            rounds: 0,
        }
    }

    /// This router's record.
    pub fn own(&self) -> MemberRecord {
        self.own
    }

    /// Changes this router's stage; true if it was another.
    pub fn set_stage(&mut self, stage: MemberStage) -> bool {
        let changed = self.own.stage != stage;
        self.own.stage = stage;
        changed
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        let own = self.own.address;
        self.seeds = seeds.into_iter().filter(|&seed| seed != own).collect();
    }

    /// Merges a record that was heard from the member itself; true if its stage or life changed.
    pub fn merge_heartbeat(&mut self, record: MemberRecord, now: MonoTime) -> bool {
        if record.address == self.own.address {
            return false;
        }
        let limit = self.down_after();
        let before = self
            .views
            .insert(record.address, MemberView { record, heard: now });
        before.is_none_or(|view| view.record != record || now.since(view.heard) > limit)
    }

    /// Merges a record that another member passed on, heard `age` ago; true if its stage or life
    /// changed.
    pub fn merge_relayed(&mut self, record: MemberRecord, age: Duration, now: MonoTime) -> bool {
        if record.address == self.own.address || age > self.down_after() {
            return false;
        }
        let heard = now.back(age);
        let Some(view) = self.views.get_mut(&record.address) else {
            self.views
                .insert(record.address, MemberView { record, heard });
            return true;
        };
        let same = view.record.incarnation == record.incarnation;
        // Leaving is final within an incarnation, so an older record can't undo it.
        let leaving = same && record.stage == MemberStage::Leaving;
        if heard <= view.heard && !leaving {
            return false;
        }
        let mut record = record;
        if same {
            record.stage = record.stage.max(view.record.stage);
        }
        let changed = view.record != record;
        view.record = record;
        view.heard = view.heard.max(heard);
        changed
    }

    /// Starts a round: forgets members, and names the addresses that get a heartbeat.
    pub fn begin_round<R: Rng>(&mut self, now: MonoTime, rng: &mut R) -> Vec<Ipv4Addr> {
        self.rounds += 1;
        self.views
            .retain(|_, view| now.since(view.heard) <= FORGET_AFTER);
        let known: Vec<Ipv4Addr> = self.views.keys().copied().collect();
        let mut targets: Vec<Ipv4Addr> = known.sample(rng, ROUND_FANOUT).copied().collect();
        if self.rounds % SEED_ROUNDS == 1 {
            let silent = self.seeds.iter().filter(|seed| !self.is_live(**seed, now));
            targets.extend(silent.copied());
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Records for a heartbeat, each with its age.
    pub fn frame_records<R: Rng>(
        &self,
        now: MonoTime,
        rng: &mut R,
    ) -> Vec<(MemberRecord, Duration)> {
        let limit = self.down_after();
        let fresh: Vec<(MemberRecord, Duration)> = self
            .views
            .values()
            .map(|view| (view.record, now.since(view.heard)))
            .filter(|&(_, age)| age <= limit)
            .collect();
        fresh.sample(rng, FRAME_RECORDS).copied().collect()
    }

    /// Every known member but this one.
    pub fn known(&self) -> Vec<Ipv4Addr> {
        self.views.keys().copied().collect()
    }

    /// The members that are up, this router included.
    pub fn live(&self, now: MonoTime) -> Vec<MemberRecord> {
        let limit = self.down_after();
        let mut live: Vec<MemberRecord> = self
            .views
            .values()
            .filter(|view| now.since(view.heard) <= limit)
            .map(|view| view.record)
            .collect();
        live.push(self.own);
        live
    }

    /// An upper estimate of the number of routers: a partition doesn't make it smaller.
    pub fn fleet_size(&self) -> usize {
        let unseen = self
            .seeds
            .iter()
            .filter(|seed| !self.views.contains_key(*seed));
        1 + self.views.len() + unseen.count()
    }

    /// A live member other than this one, drawn at random.
    pub fn any_live<R: Rng>(&self, now: MonoTime, rng: &mut R) -> Option<Ipv4Addr> {
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

    /// Whether a member is up.
    pub fn is_live(&self, address: Ipv4Addr, now: MonoTime) -> bool {
        let limit = self.down_after();
        self.views
            .get(&address)
            .is_some_and(|view| now.since(view.heard) <= limit)
    }

    /// Silence after which a member counts as down. With `n` members, news of one reach
    /// `1 + fanout * records / n` times as many in each round.
    fn down_after(&self) -> Duration {
        let members = (self.views.len() + 1).max(2) as f64;
        let told = FRAME_RECORDS.min(self.views.len().max(1)) as f64;
        let growth = 1.0 + ROUND_FANOUT as f64 * told / members;
        let spread = members.ln() / growth.ln();
        GOSSIP_PERIOD.mul_f64(DOWN_ROUNDS + SPREAD_MULTIPLE * spread)
    }
}
