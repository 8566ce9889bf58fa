//! Guards against an upstream that stays in use beyond its drain time because a failure is taken for
//! an outage in which entries expire, and against sound upstreams that are lost in a real outage.

use std::time::Duration;

use hawthornrouter::fleet::renewal_outage::{RenewalOutage, StoreFailure};
use hawthornrouter::mono::MonoTime;

const START: MonoTime = MonoTime(Duration::from_secs(100));
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Times from the failure to the removal of the entry, in milliseconds.
const REMOVALS: [u64; 5] = [100, 400, 1000, 2000, 2900];

fn after(millis: u64) -> MonoTime {
    START + Duration::from_millis(millis)
}

/// What the router meets, from time 0 on. The store answered last just before that.
struct FailureCase {
    name: &'static str,
    /// When requests fail, in milliseconds.
    failures: &'static [u64],
    kind: StoreFailure,
    /// When the store responds again.
    recovery: u64,
    /// For how long after each of [`REMOVALS`] the entry is kept, in milliseconds, by the rules:
    /// until two seconds after the recovery, if the outage is long enough for an entry to expire;
    /// otherwise, and after the recovery, at most until 50 ms before the drain time has passed since
    /// the store was last known to list the entry.
    kept: [u64; 5],
}

const CASES: [FailureCase; 9] = [
    FailureCase {
        name: "connection refused once",
        failures: &[0],
        kind: StoreFailure::Unavailable,
        recovery: 90,
        kept: [1940, 1690, 1090, 90, 0],
    },
    FailureCase {
        name: "refused, no answer, 5xx or 429 for a second",
        failures: &[0, 100, 300, 600, 1000],
        kind: StoreFailure::Unavailable,
        recovery: 1500,
        // The first three are reported by the first response.
        kept: [2000, 2000, 2000, 1500, 600],
    },
    FailureCase {
        name: "the same, for three seconds",
        failures: &[0, 600, 1200, 1800, 2400],
        kind: StoreFailure::Unavailable,
        recovery: 3000,
        kept: [2000; 5],
    },
    FailureCase {
        name: "watch cut",
        failures: &[0],
        kind: StoreFailure::WatchCut,
        recovery: 90,
        kept: [0; 5],
    },
    FailureCase {
        name: "watch cut, response late",
        failures: &[0],
        kind: StoreFailure::WatchCut,
        recovery: 3000,
        kept: [0; 5],
    },
    FailureCase {
        name: "watch cut again and again",
        failures: &[0, 300, 900, 1500, 2100],
        kind: StoreFailure::WatchCut,
        recovery: 3000,
        kept: [2000; 5],
    },
    FailureCase {
        name: "history dropped",
        failures: &[0],
        kind: StoreFailure::HistoryLost,
        recovery: 90,
        kept: [0; 5],
    },
    FailureCase {
        name: "process paused",
        failures: &[0],
        kind: StoreFailure::ProcessPaused,
        recovery: 90,
        kept: [0; 5],
    },
    FailureCase {
        name: "process paused, response late",
        failures: &[0],
        kind: StoreFailure::ProcessPaused,
        recovery: 3000,
        kept: [0; 5],
    },
];

/// Each kind of failure, with a removal at five times after it. A removal before the recovery is
/// reported by the first response. After the recovery, the store responds every 50 ms.
#[test]
fn removals_after_failures() {
    for case in CASES {
        for (removal, kept) in REMOVALS.into_iter().zip(case.kept) {
            let mut outage = RenewalOutage::default();
            outage.set_drain_time(DRAIN_TIME);
            outage.record_response(START);
            for &at in case.failures {
                outage.record_failure(case.kind, after(at));
            }
            outage.record_response(after(case.recovery));
            let reported = removal.max(case.recovery);
            let responses = (case.recovery + 50..reported).step_by(50);
            for at in responses {
                outage.record_response(after(at));
            }
            if reported > case.recovery {
                outage.record_response(after(reported));
            }
            let grace = outage.expiry_grace(after(reported));
            let expected = Duration::from_millis(kept);
            assert!(
                grace <= expected && grace + Duration::from_millis(100) >= expected,
                "{}, removal after {removal} ms: kept for {grace:?}, {expected:?} expected",
                case.name
            );
            // No entry can expire in a single failure, so the upstream has left.
            let in_time = grace.is_zero() || after(reported) + grace < after(removal) + DRAIN_TIME;
            assert!(
                in_time || case.failures.len() > 1,
                "{}, removal after {removal} ms: used beyond the drain time",
                case.name
            );
        }
    }
}

/// Entries that a restored store lacks may come back for two seconds.
#[test]
fn removals_after_restore() {
    let mut outage = RenewalOutage::default();
    outage.record_response(START);
    outage.record_response(after(100));
    outage.record_restore(after(100));
    assert_eq!(outage.expiry_grace(after(100)), Duration::from_secs(2));
    outage.record_response(after(600));
    let grace = outage.expiry_grace(after(600));
    assert!(grace <= Duration::from_millis(1450) && grace >= Duration::from_millis(1400));
}

/// A store that fails, responds and fails again may have let no renewal through.
#[test]
fn flapping_store() {
    let mut outage = RenewalOutage::default();
    outage.record_response(START);
    for at in (100..2000).step_by(400) {
        outage.record_failure(StoreFailure::Unavailable, after(at));
        outage.record_response(after(at + 200));
    }
    outage.record_failure(StoreFailure::Unavailable, after(2100));
    outage.record_response(after(2400));
    assert_eq!(outage.expiry_grace(after(2400)), Duration::from_secs(2));
}

/// The drain time of the settings bounds the use, also if it is short.
#[test]
fn short_drain_time() {
    let mut outage = RenewalOutage::default();
    outage.set_drain_time(Duration::from_millis(800));
    outage.record_response(START);
    outage.record_failure(StoreFailure::Unavailable, after(10));
    outage.record_response(after(100));
    outage.record_response(after(300));
    assert!(outage.expiry_grace(after(300)) <= Duration::from_millis(550));
}
