//! Evacuations of data centres: what is published of them, and how a router catches up that has heard
//! of other changes from a router of an older build, which passes no evacuations on.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;

use super::ControlState;
use crate::fleet::evacuation_plan::EvacuationPlan;
use crate::fleet::store_stamp::StoreStamp;
use crate::fleet::store_view::{DocumentCodec, MergeEffect, StoreChange};
use crate::forward_board::ForwardStage;
use crate::forward_control::store_task::StoreCommand;
use crate::ids::DataCenterId;
use crate::mono::MonoTime;
use crate::prometheus_metrics::set_count;

/// Time between two reads of the store for the evacuations alone. It leaves most of the five seconds in
/// which an evacuation must apply, and at 420 routers it bounds the additional requests to 210 a second
/// while nearly all routers are of older builds.
const CATCH_UP_PERIOD: Duration = Duration::from_secs(2);

/// Time after which such a read is given up until the next one. A whole read of a large store on a slow
/// link takes about as long.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);

/// How this router keeps up with evacuations.
#[derive(Debug, Default)]
pub(super) struct EvacuationWatch {
    /// Evacuated data centres that no upstream is in, of which a line was logged.
    unknown: BTreeSet<DataCenterId>,
    /// Since when a read of the store for the evacuations is in progress.
    catching_up_since: Option<MonoTime>,
    next_catch_up: MonoTime,
    plan: EvacuationPlan,
    /// Whether a page of the store was merged. Pages list evacuations before upstreams.
    has_page: bool,
}

impl<C: DocumentCodec> ControlState<C> {
    pub(super) fn publish_evacuations(&self) {
        let evacuations = self.store_view.evacuations();
        let now = self.now();
        let before = self.board.evacuations.load();
        // Before the gate opens: the upstreams there may have become cold.
        for data_center in before.evacuated().difference(evacuations.evacuated()) {
            let mut cold = self.board.cold_upstreams();
            cold.data_center_reopened(data_center, now);
        }
        self.board.evacuations.store(evacuations.into());
    }

    /// Updates the metrics, and logs evacuated data centres that no upstream is in.
    pub(super) fn update_evacuations(&mut self) {
        let evacuations = self.board.evacuations.load();
        let upstreams = self.board.upstreams.load();
        let named: BTreeSet<&DataCenterId> =
            upstreams.iter().map(|entry| &entry.data_center).collect();
        let is_unknown = |data_center: &&DataCenterId| !named.contains(data_center);
        let evacuated = evacuations.evacuated();
        let unknown: BTreeSet<DataCenterId> =
            evacuated.iter().filter(is_unknown).cloned().collect();
        if self.board.stage() != ForwardStage::Booting {
            let logged = &self.evacuation_watch.unknown;
            let mut unlogged = unknown.difference(logged);
            if let Some(first) = unlogged.next() {
                spdlog::warn!("evacuation-unknown", kv: {
                    data_center: = first, others: = unlogged.count()
                });
            }
            self.evacuation_watch.unknown.clone_from(&unknown);
        }
        let entries = upstreams.iter();
        let closed = entries.filter(|entry| evacuations.contains(&entry.data_center));
        let telemetry = &self.telemetry;
        let table = self.store_view.evacuation_table();
        let counts = [
            ("in_force", evacuated.len()),
            ("unknown", unknown.len()),
            ("unlisted", table.unlisted_count()),
            ("ignored", table.ignored_count()),
        ];
        for (kind, count) in counts {
            set_count(&telemetry.evacuations.with_label_values(&[kind]), count);
        }
        set_count(&telemetry.upstreams_evacuated, closed.count());
    }

    /// State after which a check of the store reads the changes.
    pub(super) fn check_stamp(&self) -> StoreStamp {
        let (stamp, covered) = (self.store_view.stamp(), self.store_view.covered_stamp());
        // A revision of another era says nothing.
        if covered.era == stamp.era {
            covered
        } else {
            stamp
        }
    }

    /// State after which a peer is to return all changes.
    pub(super) fn request_stamp(&mut self, now: MonoTime) -> StoreStamp {
        let (stamp, covered) = (self.store_view.stamp(), self.store_view.covered_stamp());
        self.evacuation_watch
            .plan
            .request_stamp(stamp, covered, now)
    }

    /// The peer to ask about evacuations that a restored store doesn't list, if it is time to.
    pub(super) fn unlisted_peer(&mut self, now: MonoTime) -> Option<Ipv4Addr> {
        let unlisted = self.store_view.evacuation_table().unlisted_count();
        if unlisted == 0 || !self.fetch_plan.is_free(now) {
            return None;
        }
        let own = self.members.own().address;
        let live = self.members.live(now);
        let others = live.iter().filter(|record| record.address != own);
        let peer = others.choose(&mut rand::rng())?.address;
        let plan = &mut self.evacuation_watch.plan;
        (plan.asks_for_unlisted(unlisted, now) && self.fetch_plan.begin_fetch(now)).then_some(peer)
    }

    /// Records that documents of the store were merged.
    pub(super) fn record_page(&mut self) {
        self.evacuation_watch.has_page = true;
    }

    /// Whether a router with a configuration and upstreams may serve, or waits for the evacuations.
    pub(super) fn may_serve(&mut self) -> bool {
        let now = self.now();
        let is_told = self.store_view.evacuation_table().stamp() > StoreStamp::default();
        let watch = &mut self.evacuation_watch;
        watch.plan.may_serve(watch.has_page || is_told, now)
    }

    /// Merges the evacuations among the changes of a peer, which knows them up to `known`; `None` if it
    /// is of a build that passes none on. A default state says nothing either.
    pub(super) fn merge_evacuations(
        &mut self,
        changes: &[StoreChange],
        full: bool,
        known: Option<StoreStamp>,
        now: MonoTime,
    ) -> MergeEffect {
        let Some(known) = self.evacuation_watch.plan.record_answer(known) else {
            return MergeEffect::default();
        };
        let own = self.store_view.evacuation_table().stamp();
        // The changes between both states are not in the response.
        let has_gap = !full && self.evacuation_watch.plan.asked_since() > own;
        let known = if has_gap { own } else { known };
        self.store_view
            .merge_peer_evacuations(changes, full, known, now)
    }

    /// Command to watch the store for all changes that this router lacks.
    pub(super) fn follow_command(&self) -> StoreCommand {
        let (stamp, covered) = (self.store_view.stamp(), self.store_view.covered_stamp());
        if covered.era == stamp.era && covered > StoreStamp::default() {
            StoreCommand::FollowFrom(covered)
        } else {
            StoreCommand::Restart
        }
    }

    /// Reads the store once if this router leaves that to its peers and lacks evacuations.
    pub(super) fn catch_up(&mut self, now: MonoTime) -> Option<StoreCommand> {
        let lacks_evacuations = !self.store_view.knows_evacuations();
        let is_reading = self.store_role.is_reading();
        let follow = self.follow_command();
        let watch = &mut self.evacuation_watch;
        if let Some(since) = watch.catching_up_since {
            if is_reading {
                watch.catching_up_since = None;
                return None;
            }
            if lacks_evacuations && now.since(since) < CATCH_UP_LIMIT {
                return None;
            }
            watch.catching_up_since = None;
            watch.next_catch_up = now + CATCH_UP_PERIOD;
            self.store_unreachable = false;
            return Some(StoreCommand::Suspend);
        }
        if !lacks_evacuations || is_reading || now < watch.next_catch_up {
            return None;
        }
        watch.catching_up_since = Some(now);
        spdlog::info!("evacuations-read", kv: {
            revision: = self.store_view.evacuation_table().stamp().revision,
            known: = self.store_view.stamp().revision
        });
        Some(follow)
    }
}
