//! Documents from the store and from peers, in any order.

use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::store_view::{
    DocumentCodec, StoreChange, StoreItem, StoreRevision, StoreSnapshot, StoreView,
};
use hawthornrouter::fleet::upstream_entry::{ServingState, UpstreamEntry};
use hawthornrouter::mono::MonoTime;
use hawthornrouter::route::{ConfigVersion, EdgeLimits, RouteTable, TableBuilder};
use hawthornrouter::units::ByteSize;
use proptest::prelude::*;

struct TextCodec;

impl DocumentCodec for TextCodec {
    fn config_key(&self) -> &'static str {
        "config"
    }

    fn decode_config(&self, value: &Bytes) -> anyhow::Result<RouteTable> {
        let version = std::str::from_utf8(value)?.parse()?;
        let limits = EdgeLimits {
            head_bytes: ByteSize(1),
            body_bytes: ByteSize(1),
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        };
        Ok(TableBuilder::new(ConfigVersion(version), limits).build())
    }

    fn decode_entry(&self, key: &str, _: &Bytes) -> Option<anyhow::Result<UpstreamEntry>> {
        let id = key.strip_prefix("up/")?;
        Some(entry(id))
    }
}

fn entry(id: &str) -> anyhow::Result<UpstreamEntry> {
    Ok(UpstreamEntry {
        id: id.parse()?,
        service: "app".parse()?,
        address: "127.0.0.1:1".parse()?,
        data_center: "a".parse()?,
        slots: 1,
        state: ServingState::Ready,
        warm_up: Duration::ZERO,
    })
}

fn written(key: &str, value: &str, revision: u64) -> StoreChange {
    StoreChange::Written(item(key, value, revision))
}

fn item(key: &str, value: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        revision: StoreRevision(revision),
    }
}

fn removed(key: &str, revision: u64) -> StoreChange {
    StoreChange::Removed {
        key: key.to_owned(),
        revision: StoreRevision(revision),
        grace: Duration::ZERO,
    }
}

fn names(belief: &StoreView<TextCodec>) -> Vec<String> {
    let upstreams = belief.upstreams();
    upstreams.iter().map(|entry| entry.id.to_string()).collect()
}

const NOW: MonoTime = MonoTime(Duration::from_secs(100));

proptest! {
    /// A history, merged in any order and in part from peers, ends where the store ends.
    #[test]
    fn any_order(
        changes in prop::collection::vec((0usize..4, any::<bool>()), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 40),
    ) {
        let keys = ["up/a", "up/b", "up/c", "config"];
        let mut present = [false; 4];
        let mut history = Vec::new();
        for (place, (key, write)) in changes.iter().enumerate() {
            let revision = place as u64 + 1;
            if *write || keys[*key] == "config" {
                present[*key] = true;
                history.push(written(keys[*key], &revision.to_string(), revision));
            } else {
                present[*key] = false;
                history.push(removed(keys[*key], revision));
            }
        }
        let last = StoreRevision(history.len() as u64);
        let mut belief = StoreView::new(TextCodec);
        let mut version = ConfigVersion(0);
        for index in &order {
            let change = history[index.index(history.len())].clone();
            belief.merge_peer(vec![change], StoreRevision(0), NOW);
            prop_assert!(belief.config_version() >= version, "it never goes back");
            version = belief.config_version();
        }
        // Whatever was missed comes with a reading of the whole store.
        let items = keys.iter().enumerate().filter(|&(key, _)| present[key]).map(|(_, name)| {
            let last = history.iter().rev().find_map(|change| match change {
                StoreChange::Written(item) if item.key == *name => Some(item.clone()),
                _ => None,
            });
            last.expect("it was written")
        });
        let snapshot = StoreSnapshot { revision: last, items: items.collect() };
        belief.merge_snapshot(snapshot, NOW);
        let expected: Vec<String> = keys[..3]
            .iter()
            .enumerate()
            .filter(|&(key, _)| present[key])
            .map(|(_, name)| name.replace("up/", ""))
            .collect();
        prop_assert_eq!(names(&belief), expected);
        prop_assert_eq!(belief.revision(), last);
        // A peer that knows nothing ends at the same place by asking this router.
        let mut peer = StoreView::new(TextCodec);
        peer.merge_peer(belief.changes_since(StoreRevision(0), NOW), belief.revision(), NOW);
        prop_assert_eq!(names(&peer), names(&belief));
    }
}

#[test]
fn delayed_removal() {
    let mut belief = StoreView::new(TextCodec);
    belief.merge_change(written("up/a", "", 5), NOW);
    belief.merge_change(removed("up/a", 4), NOW);
    assert_eq!(names(&belief), ["a"]);
    belief.merge_change(removed("up/a", 6), NOW);
    belief.merge_change(written("up/a", "", 5), NOW);
    assert!(names(&belief).is_empty());
}

#[test]
fn lapse_or_removal() {
    let after = |span: u64| NOW + Duration::from_millis(span);
    let mut belief = StoreView::new(TextCodec);
    for (key, revision) in [("up/a", 1), ("up/b", 2), ("up/c", 3)] {
        belief.merge_change(written(key, "", revision), NOW);
    }
    // Without a failure of the store, a removal is one at once.
    belief.merge_change(removed("up/a", 4), NOW);
    assert_eq!(names(&belief), ["b", "c"]);
    belief.store_failed(after(1000));
    belief.store_answered(after(2000));
    belief.merge_change(removed("up/b", 5), after(2500));
    assert_eq!(names(&belief), ["b", "c"], "it may come back");
    belief.tick(after(3900));
    assert_eq!(names(&belief), ["b", "c"]);
    belief.tick(after(4000));
    assert_eq!(
        names(&belief),
        ["c"],
        "two seconds after the store's return"
    );
    belief.merge_change(removed("up/c", 6), after(4100));
    assert!(names(&belief).is_empty(), "the failure is long over");
}

#[test]
fn lapse_at_peers() {
    let mut first = StoreView::new(TextCodec);
    let mut second = StoreView::new(TextCodec);
    for belief in [&mut first, &mut second] {
        belief.merge_change(written("up/a", "", 1), NOW);
    }
    first.store_failed(NOW);
    first.merge_change(removed("up/a", 2), NOW);
    let later = NOW + Duration::from_millis(500);
    second.merge_peer(
        first.changes_since(StoreRevision(1), later),
        StoreRevision(2),
        later,
    );
    assert_eq!(names(&second), ["a"], "the peer holds it as long");
    second.tick(NOW + Duration::from_millis(2001));
    assert!(names(&second).is_empty());
}
