//! Guards against a late view of the store that undoes an evacuation of a data centre or brings a
//! withdrawn one back: a page, a peer, a peer of an older build, or a restored store.

mod store_codec;

use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::evacuation_plan::EvacuationPlan;
use hawthornrouter::fleet::evacuation_table::MAX_EVACUATIONS;
use hawthornrouter::fleet::store_stamp::StoreStamp;
use hawthornrouter::fleet::store_view::{StoreChange, StoreItem, StoreSnapshot, StoreView};
use hawthornrouter::mono::MonoTime;
use proptest::prelude::*;
use store_codec::TextCodec;

const NOW: MonoTime = MonoTime(Duration::from_secs(100));

type View = StoreView<TextCodec>;

fn at(revision: u64) -> StoreStamp {
    StoreStamp::new(0, revision)
}

fn item(key: &str, stamp: StoreStamp) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::from_static(b"{}"),
        stamp,
    }
}

fn set(key: &str, stamp: StoreStamp) -> StoreChange {
    StoreChange::Written(item(key, stamp))
}

fn unset(key: &str, stamp: StoreStamp) -> StoreChange {
    StoreChange::Removed {
        key: key.to_owned(),
        stamp,
        grace: Duration::ZERO,
    }
}

fn snapshot(stamp: StoreStamp, keys: &[(&str, u64)]) -> StoreSnapshot {
    let stamp_of = |revision| StoreStamp::new(stamp.era.0, revision);
    let items = keys
        .iter()
        .map(|(key, revision)| item(key, stamp_of(*revision)));
    StoreSnapshot {
        stamp,
        items: items.collect(),
    }
}

/// A view after a read of the store.
fn read_view(stamp: StoreStamp, keys: &[(&str, u64)]) -> View {
    let mut view = StoreView::new(TextCodec);
    view.merge_snapshot(snapshot(stamp, keys), NOW);
    view
}

fn evacuated(view: &View) -> Vec<String> {
    let set = view.evacuations();
    set.evacuated().iter().map(ToString::to_string).collect()
}

/// Sends what `view` knows to `peer`, which asks for what it lacks.
fn relay(view: &View, peer: &mut View) {
    relay_at(view, peer, NOW);
}

fn relay_at(view: &View, peer: &mut View, now: MonoTime) {
    let since = peer.covered_stamp();
    let full = !view.has_changes_since(since);
    let since = if full { StoreStamp::default() } else { since };
    let changes = view.changes_since(since, now);
    let known = view.evacuation_table().stamp();
    peer.merge_peer_evacuations(&changes, full, known, now);
    relay_entries(view, peer, changes, full);
}

fn relay_entries(view: &View, peer: &mut View, changes: Vec<StoreChange>, full: bool) {
    let base = StoreStamp {
        era: view.stamp().era,
        revision: view.base_revision(),
    };
    if full {
        peer.merge_peer_snapshot(changes, view.stamp(), base, NOW);
    } else {
        peer.merge_peer(changes, view.stamp(), NOW);
    }
}

/// Sends what a router of an older build knows, which keeps no evacuations.
fn relay_older(view: &View, peer: &mut View) {
    let full = !view.has_changes_since(peer.stamp());
    let since = if full {
        StoreStamp::default()
    } else {
        peer.stamp()
    };
    let mut changes = view.changes_since(since, NOW);
    changes.retain(|change| match change {
        StoreChange::Written(item) | StoreChange::Withheld { item, .. } => {
            !item.key.starts_with("out/")
        }
        StoreChange::Removed { key, .. } => !key.starts_with("out/"),
    });
    relay_entries(view, peer, changes, full);
}

#[test]
fn set_withdrawn_set_again() {
    let mut view = read_view(at(1), &[]);
    let effect = view.merge_changes(vec![set("out/a", at(2))], at(2), NOW);
    assert!(effect.evacuations && !effect.upstreams && !effect.config);
    assert_eq!(evacuated(&view), ["a"]);
    view.merge_changes(vec![set("out/b", at(3)), unset("out/a", at(4))], at(4), NOW);
    assert_eq!(evacuated(&view), ["b"]);
    let names = ["a", "b"].map(|name| name.parse().unwrap());
    let ends = names
        .each_ref()
        .map(|name| view.evacuations().withdrawn_at(name));
    assert_eq!(ends, [Some(NOW), None]);
    let effect = view.merge_changes(vec![set("out/a", at(5))], at(5), NOW);
    assert!(effect.evacuations);
    assert_eq!(evacuated(&view), ["a", "b"]);
    assert_eq!(view.evacuations().withdrawn_at(&names[0]), None);
}

/// A call must not read cached prompts from an upstream that was evacuated after the choice.
#[test]
fn evacuated_source_is_dropped() {
    let mut view = read_view(at(1), &[]);
    let mut upstream = item("up/x", at(2));
    upstream.value = Bytes::from_static(b"ready");
    view.merge_page(vec![upstream], at(2), NOW);
    let upstreams = view.upstreams();
    let source = upstreams[0].address;
    let open = |view: &View| view.evacuations().open_source(source, &upstreams);
    assert_eq!(open(&view), Some(source));
    view.merge_changes(vec![set("out/b", at(3))], at(3), NOW);
    assert_eq!(open(&view), Some(source));
    view.merge_changes(vec![set("out/a", at(4))], at(4), NOW);
    assert_eq!(open(&view), None);
}

/// A value is never read, so that one that is cut or too large evacuates as well.
#[test]
fn value_says_nothing() {
    let mut view = read_view(at(1), &[]);
    let mut empty = item("out/a", at(2));
    empty.value = Bytes::new();
    view.merge_page(
        vec![empty, item("out/no name", at(2)), item("out/", at(2))],
        at(2),
        NOW,
    );
    assert_eq!(evacuated(&view), ["a"]);
    assert_eq!(view.evacuation_table().ignored_count(), 2);
}

#[test]
fn late_page_ends_nothing() {
    let mut view = read_view(at(1), &[]);
    view.merge_changes(vec![set("out/a", at(2)), unset("out/a", at(5))], at(5), NOW);
    view.merge_changes(vec![set("out/b", at(7))], at(7), NOW);
    // The read began before the last two changes.
    view.merge_snapshot(snapshot(at(4), &[("out/a", 2)]), NOW);
    assert_eq!(evacuated(&view), ["b"]);
}

#[test]
fn whole_read_ends_missing() {
    let mut view = read_view(at(5), &[("out/a", 2), ("out/b", 3)]);
    assert_eq!(evacuated(&view), ["a", "b"]);
    view.merge_snapshot(snapshot(at(9), &[("out/b", 3)]), NOW);
    assert_eq!(evacuated(&view), ["b"]);
}

#[test]
fn peer_passes_on_both() {
    let mut reader = read_view(at(5), &[("out/a", 2)]);
    let mut started = StoreView::new(TextCodec);
    relay(&reader, &mut started);
    assert_eq!(evacuated(&started), ["a"]);
    assert!(started.knows_evacuations());
    reader.merge_changes(vec![unset("out/a", at(6)), set("out/b", at(7))], at(7), NOW);
    relay(&reader, &mut started);
    assert_eq!(evacuated(&started), ["b"]);
}

/// A peer that is behind must not bring a withdrawn evacuation back, nor end one.
#[test]
fn late_peer_changes_nothing() {
    let late = read_view(at(5), &[("out/a", 2)]);
    let mut view = read_view(at(8), &[("out/b", 7)]);
    relay(&late, &mut view);
    assert_eq!(evacuated(&view), ["b"]);
    let changes = late.changes_since(StoreStamp::default(), NOW);
    view.merge_peer_evacuations(&changes, true, at(5), NOW);
    assert_eq!(evacuated(&view), ["b"]);
}

/// What a peer of an older build lacks must not end an evacuation, and must not count as known.
#[test]
fn older_peer_says_nothing() {
    let mut reader = read_view(at(5), &[("out/a", 2)]);
    let mut view = StoreView::new(TextCodec);
    relay(&reader, &mut view);
    let changes = vec![
        unset("out/a", at(6)),
        set("out/b", at(7)),
        set("up/x", at(8)),
    ];
    reader.merge_changes(changes, at(8), NOW);
    relay_older(&reader, &mut view);
    assert_eq!(view.stamp(), at(8));
    assert!(!view.knows_evacuations());
    assert_eq!(evacuated(&view), ["a"]);
    // A full answer of such a peer lacks them too.
    let changes = vec![set("up/x", at(8))];
    view.merge_peer_snapshot(changes, at(9), at(9), NOW);
    assert_eq!(evacuated(&view), ["a"]);
    assert_eq!(view.covered_stamp(), at(5));
    relay(&reader, &mut view);
    assert_eq!(evacuated(&view), ["b"]);
    assert_eq!(view.covered_stamp(), at(8));
}

/// A removal that a peer of an older build passes on must not end an evacuation that was set again.
#[test]
fn older_removal_ends_nothing() {
    let mut view = read_view(at(92), &[("out/a", 90)]);
    let changes = vec![unset("out/a", at(95)), set("up/x", at(101))];
    view.merge_peer(changes.clone(), at(101), NOW);
    assert_eq!(evacuated(&view), ["a"]);
    view.merge_peer_snapshot(changes, at(102), at(102), NOW);
    assert_eq!(evacuated(&view), ["a"]);
}

/// A page of a read that began before the key was removed must not bring the evacuation back, if the
/// router only knows that the key is gone.
#[test]
fn late_page_brings_nothing_back() {
    let mut view = StoreView::new(TextCodec);
    relay(&read_view(at(9), &[("up/x", 3)]), &mut view);
    view.merge_page(vec![item("out/a", at(2))], at(4), NOW);
    assert!(evacuated(&view).is_empty());
    view.merge_page(vec![item("out/a", at(10))], at(10), NOW);
    assert_eq!(evacuated(&view), ["a"]);
}

/// A store that was restored from a copy without the evacuation doesn't end it.
#[test]
fn restored_store_ends_nothing() {
    let mut view = read_view(StoreStamp::new(1, 10), &[("out/a", 9)]);
    view.merge_snapshot(snapshot(StoreStamp::new(2, 5), &[("up/x", 3)]), NOW);
    assert_eq!(evacuated(&view), ["a"]);
    assert_eq!(view.evacuation_table().unlisted_count(), 1);
    // Neither does another read, and a router that starts now hears of it.
    view.merge_snapshot(snapshot(StoreStamp::new(2, 20), &[("up/x", 3)]), NOW);
    let mut started = read_view(StoreStamp::new(2, 6), &[("up/x", 3)]);
    relay(&view, &mut started);
    for view in [&mut view, &mut started] {
        assert_eq!(evacuated(view), ["a"]);
        let again = vec![set("out/a", StoreStamp::new(2, 21))];
        view.merge_changes(again, StoreStamp::new(2, 21), NOW);
        assert_eq!(view.evacuation_table().unlisted_count(), 0);
        let ended = vec![unset("out/a", StoreStamp::new(2, 22))];
        view.merge_changes(ended, StoreStamp::new(2, 22), NOW);
        assert!(evacuated(view).is_empty());
    }
}

/// A router that read a restored store after the evacuation had ended must hear of that from a peer,
/// however long ago it was, and so must one that heard of the evacuation from it.
#[test]
fn restored_store_keeps_end() {
    let read = || read_view(StoreStamp::new(1, 10), &[("out/a", 9)]);
    let (mut view, mut late) = (read(), read());
    view.merge_snapshot(snapshot(StoreStamp::new(2, 5), &[]), NOW);
    let ended = vec![
        set("out/a", StoreStamp::new(2, 21)),
        unset("out/a", StoreStamp::new(2, 22)),
    ];
    view.merge_changes(ended, StoreStamp::new(2, 22), NOW);
    late.merge_snapshot(snapshot(StoreStamp::new(2, 30), &[]), NOW);
    let mut started = read_view(StoreStamp::new(2, 30), &[]);
    relay(&late, &mut started);
    let later = NOW + Duration::from_mins(10);
    for peer in [&mut late, &mut started] {
        assert_eq!(evacuated(peer), ["a"]);
        relay_at(&view, peer, later);
        assert!(evacuated(peer).is_empty());
    }
    let mut started = StoreView::new(TextCodec);
    relay_at(&late, &mut started, later);
    relay(&view, &mut started);
    assert!(evacuated(&started).is_empty());
}

/// Such a router must ask a peer, also if it reads the store, and not with every tick.
#[test]
fn unlisted_is_asked_for() {
    let mut plan = EvacuationPlan::default();
    assert!(!plan.asks_for_unlisted(0, NOW));
    assert!(plan.asks_for_unlisted(1, NOW));
    assert!(!plan.asks_for_unlisted(1, NOW + Duration::from_secs(1)));
    assert!(plan.asks_for_unlisted(1, NOW + Duration::from_secs(10)));
}

/// A router that is cut off from the store must ask for all evacuations often enough to apply one in
/// 5 s, though older builds answer most of its requests.
#[test]
fn older_answers_delay_little() {
    let mut plan = EvacuationPlan::default();
    let (stamp, covered) = (at(50), at(5));
    let mut asked = Vec::new();
    for second in 0..20 {
        let now = NOW + Duration::from_secs(second);
        if plan.request_stamp(stamp, covered, now) == covered {
            asked.push(second);
        }
        plan.record_answer(None);
    }
    assert!(
        asked.windows(2).all(|pair| pair[1] - pair[0] <= 4),
        "{asked:?}"
    );
    assert!(asked.len() <= 10, "{asked:?}");
    // A newer one answers: the next request is for all that is missing.
    plan.record_answer(Some(at(60)));
    let now = NOW + Duration::from_secs(20);
    assert_eq!(plan.request_stamp(stamp, covered, now), covered);
}

/// A booting router must not serve before it knows the evacuations, nor wait for ever; a peer that has
/// heard from older builds only knows none.
#[test]
fn boot_waits_for_evacuations() {
    let mut plan = EvacuationPlan::default();
    assert_eq!(plan.record_answer(Some(StoreStamp::default())), None);
    assert_eq!(plan.record_answer(Some(at(3))), Some(at(3)));
    assert!(!plan.may_serve(false, NOW));
    assert!(!plan.may_serve(false, NOW + Duration::from_millis(3_900)));
    assert!(plan.may_serve(true, NOW + Duration::from_millis(3_900)));
    assert!(plan.may_serve(false, NOW + Duration::from_secs(4)));
}

/// A copy that lists a withdrawn evacuation doesn't bring it back; a new one counts.
#[test]
fn restored_store_brings_nothing_back() {
    let mut view = read_view(StoreStamp::new(1, 10), &[("out/a", 9)]);
    let ended = vec![unset("out/a", StoreStamp::new(1, 12))];
    view.merge_changes(ended, StoreStamp::new(1, 12), NOW);
    let copy = [("out/a", 9)];
    for revision in [10, 14] {
        view.merge_snapshot(snapshot(StoreStamp::new(2, revision), &copy), NOW);
        assert!(evacuated(&view).is_empty());
    }
    let again = vec![set("out/a", StoreStamp::new(2, 15))];
    view.merge_changes(again, StoreStamp::new(2, 15), NOW);
    assert_eq!(evacuated(&view), ["a"]);
}

/// An evacuation that was set after the restore, while the router was cut off, is in doubt and counts.
#[test]
fn doubtful_listing_evacuates() {
    let mut view = read_view(StoreStamp::new(1, 10), &[("out/a", 9)]);
    let ended = vec![unset("out/a", StoreStamp::new(1, 12))];
    view.merge_changes(ended, StoreStamp::new(1, 12), NOW);
    view.merge_snapshot(snapshot(StoreStamp::new(2, 50), &[("out/a", 40)]), NOW);
    assert_eq!(evacuated(&view), ["a"]);
}

#[test]
fn table_is_bounded() {
    let mut view = read_view(at(1), &[]);
    let count = MAX_EVACUATIONS as u64 + 5;
    for index in 0..count {
        let key = format!("out/z{index}");
        view.merge_changes(vec![set(&key, at(2 + index))], at(2 + index), NOW);
    }
    assert_eq!(evacuated(&view).len(), MAX_EVACUATIONS);
    assert_eq!(view.evacuation_table().ignored_count(), 5);
    // Withdrawn ones give way, and a peer that lacks them is told everything.
    let since = at(2 + count);
    let changes = vec![
        unset("out/z0", at(3 + count)),
        set("out/new", at(4 + count)),
    ];
    view.merge_changes(changes, at(4 + count), NOW);
    assert!(evacuated(&view).contains(&"new".to_owned()));
    assert!(!view.has_changes_since(since));
}

proptest! {
    /// In whatever order and how often the changes of a store arrive, the last one counts.
    #[test]
    fn last_change_counts(
        log in prop::collection::vec((0usize..3, any::<bool>()), 1..12),
        order in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..40),
    ) {
        let keys = ["out/a", "out/b", "out/c"];
        let changes: Vec<StoreChange> = (2..).zip(&log).map(|(revision, &(key, is_set))| {
            let change = if is_set { set } else { unset };
            change(keys[key], at(revision))
        }).collect();
        let mut view = read_view(at(1), &[]);
        for (index, by_peer) in order {
            let change = changes[index.index(changes.len())].clone();
            if by_peer {
                view.merge_peer_evacuations(&[change], false, at(1), NOW);
            } else {
                view.merge_changes(vec![change], at(1), NOW);
            }
        }
        let last = at(1 + log.len() as u64);
        view.merge_changes(changes, last, NOW);
        let names = ["a", "b", "c"];
        let is_set = |key: &usize| log.iter().rfind(|(other, _)| other == key).is_some_and(|last| last.1);
        let expected: Vec<&str> = (0..3).filter(is_set).map(|key| names[key]).collect();
        prop_assert_eq!(evacuated(&view), expected);
    }
}
