//! Guards against a view of a restored store that goes back with it: an older configuration, an
//! upstream that left, a removal that no longer holds, or the freshness of an earlier era.

mod store_codec;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::store_role::{StoreReport, StoreRole};
use hawthornrouter::fleet::store_stamp::StoreStamp;
use hawthornrouter::fleet::store_view::{StoreChange, StoreItem, StoreSnapshot, StoreView};
use hawthornrouter::fleet::upstream_entry::ServingState;
use hawthornrouter::mono::MonoTime;
use hawthornrouter::route::ConfigVersion;
use proptest::prelude::*;
use proptest::sample::Index;
use store_codec::TextCodec;

const NOW: MonoTime = MonoTime(Duration::from_secs(100));

fn after(millis: u64) -> MonoTime {
    NOW + Duration::from_millis(millis)
}

fn item(key: &str, value: &str, stamp: StoreStamp) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        stamp,
    }
}

fn written(key: &str, value: &str, stamp: StoreStamp) -> StoreChange {
    StoreChange::Written(item(key, value, stamp))
}

fn removed(key: &str, stamp: StoreStamp) -> StoreChange {
    StoreChange::Removed {
        key: key.to_owned(),
        stamp,
        grace: Duration::ZERO,
    }
}

fn snapshot(stamp: StoreStamp, items: &[(&str, &str, u64)]) -> StoreSnapshot {
    let items = items
        .iter()
        .map(|(key, value, revision)| item(key, value, StoreStamp::new(stamp.era.0, *revision)));
    StoreSnapshot {
        stamp,
        items: items.collect(),
    }
}

fn usable(view: &StoreView<TextCodec>) -> Vec<String> {
    let upstreams = view.upstreams();
    upstreams.iter().map(|entry| entry.id.to_string()).collect()
}

/// Passes on all that `view` knows to a router in the state of `peer`.
fn relay(view: &StoreView<TextCodec>, peer: &mut StoreView<TextCodec>, now: MonoTime) {
    let full = !view.has_changes_since(peer.stamp());
    let since = if full {
        StoreStamp::default()
    } else {
        peer.stamp()
    };
    let mut changes = view.changes_since(since, now);
    if let Some(config) = view.config() {
        changes.push(StoreChange::Written(StoreItem {
            key: "config".to_owned(),
            value: config.value.clone(),
            stamp: config.stamp,
        }));
    }
    let base = StoreStamp {
        era: view.stamp().era,
        revision: view.base_revision(),
    };
    if full {
        peer.merge_peer_snapshot(changes, view.stamp(), base, now);
    } else {
        peer.merge_peer(changes, view.stamp(), now);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Write(usize),
    Remove(usize),
    Config,
    /// Loses the last changes.
    Restore(Index),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0usize..3).prop_map(Step::Write),
        2 => (0usize..3).prop_map(Step::Remove),
        2 => Just(Step::Config),
        1 => any::<Index>().prop_map(Step::Restore),
    ]
}

const KEYS: [&str; 3] = ["up/a", "up/b", "up/c"];

/// A store, and everything that it ever said.
#[derive(Default)]
struct History {
    era: u64,
    log: Vec<(u64, &'static str, Option<String>)>,
    said: Vec<StoreChange>,
    version: u64,
}

impl History {
    fn revision(&self) -> u64 {
        self.log.last().map_or(0, |(revision, ..)| *revision)
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Write(key) => self.change(KEYS[*key], Some("ready".to_owned())),
            Step::Remove(key) => self.change(KEYS[*key], None),
            Step::Config => {
                self.version += 1;
                self.change("config", Some(self.version.to_string()));
            }
            Step::Restore(kept) => {
                self.log.truncate(kept.index(self.log.len() + 1));
                self.era += 1;
            }
        }
    }

    fn change(&mut self, key: &'static str, value: Option<String>) {
        let revision = self.revision() + 1;
        let stamp = StoreStamp::new(self.era, revision);
        self.said.push(match &value {
            Some(value) => written(key, value, stamp),
            None => removed(key, stamp),
        });
        self.log.push((revision, key, value));
    }

    fn snapshot(&self) -> StoreSnapshot {
        let mut items = BTreeMap::new();
        for (revision, key, value) in &self.log {
            match value {
                Some(value) => items.insert(key, (value, *revision)),
                None => items.remove(key),
            };
        }
        let stamp = StoreStamp::new(self.era, self.revision());
        let items: Vec<(&str, &str, u64)> = items
            .iter()
            .map(|(key, (value, revision))| (**key, value.as_str(), *revision))
            .collect();
        snapshot(stamp, &items)
    }
}

proptest! {
    /// Changes of several eras arrive repeatedly, in any order and with gaps. Once the store was
    /// read, the upstreams are its own after the times for which entries are held or withheld, and
    /// so they are at a peer. The version never decreases.
    #[test]
    fn eras_in_any_order(
        steps in prop::collection::vec(step(), 1..30),
        order in prop::collection::vec(any::<Index>(), 40),
    ) {
        let mut history = History { era: 1, ..History::default() };
        for step in &steps {
            history.apply(step);
        }
        let mut view = StoreView::new(TextCodec);
        let mut peer = StoreView::new(TextCodec);
        let mut version = ConfigVersion(0);
        for index in order.iter().filter(|_| !history.said.is_empty()) {
            let change = history.said[index.index(history.said.len())].clone();
            view.merge_peer(vec![change.clone()], StoreStamp::default(), NOW);
            if index.index(2) == 0 {
                peer.merge_peer(vec![change], StoreStamp::default(), NOW);
            }
            prop_assert!(view.config_version() >= version, "the version must not decrease");
            version = view.config_version();
        }
        let last = history.snapshot();
        let mut listed: Vec<String> = last
            .items
            .iter()
            .filter_map(|item| Some(item.key.strip_prefix("up/")?.to_owned()))
            .collect();
        listed.sort();
        view.merge_snapshot(last, NOW);
        prop_assert!(view.config_version() >= version, "the version must not decrease");
        relay(&view, &mut peer, NOW);
        for view in [&mut view, &mut peer] {
            view.tick(after(2000));
            prop_assert!(usable(view).iter().all(|id| listed.contains(id)));
            view.tick(after(10_000));
            prop_assert_eq!(&usable(view), &listed);
            prop_assert_eq!(view.withheld_count(), 0);
        }
        prop_assert_eq!(peer.stamp(), view.stamp());
        prop_assert!(peer.config_version() >= view.config_version());
    }
}

/// A view that read era 1 up to revision 7: `left` was removed, `drains` is draining, `late` came
/// last.
fn before_loss() -> StoreView<TextCodec> {
    let mut view = StoreView::new(TextCodec);
    let first = [
        ("config", "1", 1),
        ("up/drains", "ready", 2),
        ("up/left", "ready", 3),
    ];
    view.merge_snapshot(snapshot(StoreStamp::new(1, 3), &first), NOW);
    let changes = vec![
        removed("up/left", StoreStamp::new(1, 4)),
        written("up/drains", "draining", StoreStamp::new(1, 5)),
        written("up/late", "ready", StoreStamp::new(1, 6)),
        written("config", "2", StoreStamp::new(1, 7)),
    ];
    view.merge_changes(changes, StoreStamp::new(1, 7), NOW);
    view
}

/// What the store lists after it lost all but the first three revisions.
fn restored() -> StoreSnapshot {
    let items = [
        ("config", "1", 1),
        ("up/drains", "ready", 2),
        ("up/left", "ready", 3),
    ];
    snapshot(StoreStamp::new(2, 3), &items)
}

fn draining(view: &StoreView<TextCodec>, id: &str) -> bool {
    let upstreams = view.upstreams();
    let entry = upstreams.iter().find(|entry| entry.id.as_str() == id);
    entry.is_some_and(|entry| entry.state == ServingState::Draining)
}

#[test]
fn listed_again() {
    let mut view = before_loss();
    view.merge_snapshot(restored(), after(1000));
    assert_eq!(usable(&view), ["drains", "late"]);
    assert!(draining(&view, "drains"));
    assert_eq!(view.config_version(), ConfigVersion(2));
    view.tick(after(3000));
    assert_eq!(usable(&view), ["drains"], "the grace period has ended");
    view.tick(after(10_999));
    assert_eq!(view.withheld_count(), 1);
    view.tick(after(11_000));
    assert_eq!(usable(&view), ["drains", "left"]);
    assert!(
        draining(&view, "drains"),
        "a run that drains never stops draining"
    );
}

#[test]
fn registered_again() {
    let mut view = before_loss();
    view.merge_snapshot(restored(), after(1000));
    let changes = vec![
        written("up/late", "ready", StoreStamp::new(2, 4)),
        written("up/left", "ready", StoreStamp::new(2, 5)),
        written("config", "2", StoreStamp::new(2, 6)),
    ];
    view.merge_changes(changes, StoreStamp::new(2, 6), after(2000));
    view.tick(after(60_000));
    assert_eq!(usable(&view), ["drains", "late", "left"]);
    view.merge_changes(
        vec![removed("up/drains", StoreStamp::new(2, 7))],
        StoreStamp::new(2, 7),
        after(61_000),
    );
    assert_eq!(usable(&view), ["late", "left"]);
}

/// Guards against a second restore that brings back what the first one did not.
#[test]
fn restored_twice() {
    let mut view = before_loss();
    view.merge_snapshot(restored(), after(1000));
    let mut again = restored();
    again.stamp.era.0 = 3;
    for item in &mut again.items {
        item.stamp.era.0 = 3;
    }
    view.merge_snapshot(again, after(9000));
    view.tick(after(11_000));
    assert_eq!(usable(&view), ["drains"]);
    view.tick(after(19_000));
    assert_eq!(usable(&view), ["drains", "left"]);
}

/// Guards against answers from before the restore that arrive after the whole read of the new era.
#[test]
fn earlier_era_says_nothing() {
    let mut view = before_loss();
    view.merge_snapshot(restored(), after(1000));
    view.tick(after(60_000));
    let before = usable(&view);
    let late = vec![
        written("up/late", "ready", StoreStamp::new(1, 6)),
        removed("up/drains", StoreStamp::new(1, 90)),
    ];
    view.merge_changes(late.clone(), StoreStamp::new(1, 90), after(60_000));
    view.merge_peer_snapshot(
        late,
        StoreStamp::new(1, 90),
        StoreStamp::new(1, 0),
        after(60_000),
    );
    let stale = snapshot(StoreStamp::new(1, 90), &[("up/new", "ready", 80)]);
    view.merge_snapshot(stale, after(60_000));
    assert_eq!(usable(&view), before);
    assert_eq!(view.stamp(), StoreStamp::new(2, 3));
    // A later version is taken even from a peer of an earlier era.
    let config = vec![written("config", "3", StoreStamp::new(1, 91))];
    view.merge_peer(config, StoreStamp::new(1, 91), after(60_000));
    assert_eq!(view.config_version(), ConfigVersion(3));
}

/// Guards against an upstream that is used because a peer, which did not know that it left, read the
/// copy; and against one that a router uses though its peer knew that it left.
#[test]
fn peers_know_less() {
    let mut unaware = StoreView::new(TextCodec);
    unaware.merge_snapshot(restored(), after(1000));
    assert_eq!(usable(&unaware), ["drains", "left"]);
    let mut aware = before_loss();
    relay(&unaware, &mut aware, after(1000));
    assert_eq!(usable(&aware), ["drains", "late"]);
    assert!(draining(&aware, "drains"));
    assert_eq!(aware.withheld_count(), 1);
    let mut late = StoreView::new(TextCodec);
    relay(&aware, &mut late, after(2000));
    // It never knew the entry that the copy lacks.
    assert_eq!(usable(&late), ["drains"]);
    assert!(draining(&late, "drains"));
    assert_eq!(late.withheld_count(), 1);
    assert_eq!(late.config_version(), ConfigVersion(2));
    late.tick(after(11_000));
    assert_eq!(usable(&late), ["drains", "left"]);
}

/// Guards against an earlier run of an upstream, whose address the copy still lists.
#[test]
fn earlier_run_stays_out() {
    let mut view = StoreView::new(TextCodec);
    let first = [("up/a", "ready@100", 1), ("up/b", "ready@100", 2)];
    view.merge_snapshot(snapshot(StoreStamp::new(1, 2), &first), NOW);
    let changes = vec![
        written("up/a", "ready@200", StoreStamp::new(1, 3)),
        written("up/b", "draining@100", StoreStamp::new(1, 4)),
    ];
    view.merge_changes(changes, StoreStamp::new(1, 4), NOW);
    // Between the copy and this read, the second upstream started again.
    let listed = [("up/a", "ready@100", 1), ("up/b", "ready@300", 3)];
    view.merge_snapshot(snapshot(StoreStamp::new(2, 3), &listed), after(1000));
    let upstreams = view.upstreams();
    let starts: Vec<u64> = upstreams
        .iter()
        .map(|entry| entry.started.expect("a start").0)
        .collect();
    assert_eq!(starts, [200, 300]);
    assert!(!draining(&view, "b"));
    view.tick(after(3000));
    assert_eq!(usable(&view), ["b"]);
    view.tick(after(60_000));
    assert_eq!(usable(&view), ["b"], "the earlier run is gone for good");
}

/// Guards against peers of an earlier era that make a router's knowledge look fresh.
#[test]
fn freshness_of_an_era() {
    let mut role = StoreRole::new(Duration::from_secs(2));
    let report = |era, revision| StoreReport {
        stamp: StoreStamp::new(era, revision),
        age: Duration::from_millis(100),
    };
    let own = StoreStamp::new(2, 5);
    role.record_report(report(1, 90), own, NOW);
    role.record_report(report(1, 3), own, NOW);
    role.record_report(report(2, 6), own, NOW);
    role.record_report(report(3, 1), own, NOW);
    assert_eq!(role.age(NOW), None);
    role.record_report(report(2, 5), own, NOW);
    assert_eq!(role.age(NOW), Some(Duration::from_millis(100)));
}
