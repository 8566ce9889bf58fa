//! Which calls a stopping router takes. Guards against calls that are taken and then cut, and
//! against refusals of calls that would be answered in time.

use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::call_times::CallTimes;
use hawthornrouter::policy::stop_admission::{CallNeed, StopPlan};
use hawthornrouter::route::{CallKind, PriorityRank, RouteRule, ServiceSplit};

const KINDS: [CallKind; 4] = [
    CallKind::Idempotent,
    CallKind::NonIdempotent,
    CallKind::Stream { resumable: true },
    CallKind::Stream { resumable: false },
];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stop_plan(grace_ms: u64) -> StopPlan {
    StopPlan {
        requested: MonoTime(ms(60_000)),
        grace: ms(grace_ms),
    }
}

fn need(kind: CallKind, limit_ms: u64, measured_ms: Option<u64>) -> CallNeed {
    CallNeed {
        kind,
        limit: ms(limit_ms),
        target: ms(800),
        measured: measured_ms.map(ms),
    }
}

fn route(kind: CallKind) -> RouteRule {
    RouteRule {
        name: "r".parse().expect("id"),
        host: "shop.example".to_owned(),
        prefix: "/r/".to_owned(),
        kind,
        time_limit: ms(12_000),
        target: ms(800),
        gap_target: None,
        rank: PriorityRank(1),
        splits: vec![ServiceSplit {
            service: "app".parse().expect("id"),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
        cached_prompts: false,
    }
}

fn admits_after(plan: &StopPlan, need: &CallNeed, after_ms: u64) -> bool {
    plan.admits(need, plan.requested + ms(after_ms))
}

#[test]
fn limit_within_the_grace() {
    let plan = stop_plan(5_000);
    for kind in KINDS {
        // Whatever was measured: the call ends at its deadline.
        assert!(admits_after(&plan, &need(kind, 2_000, Some(60_000)), 2_400));
        assert!(admits_after(&plan, &need(kind, 2_000, None), 2_400));
    }
}

#[test]
fn longer_than_what_is_left() {
    let plan = stop_plan(5_000);
    for kind in KINDS {
        assert!(!admits_after(
            &plan,
            &need(kind, 12_000, Some(3_000)),
            2_300
        ));
        assert!(admits_after(&plan, &need(kind, 12_000, Some(300)), 2_300));
        assert!(admits_after(&plan, &need(kind, 12_000, Some(1_000)), 0));
    }
}

#[test]
fn once_needs_more() {
    let plan = stop_plan(5_000);
    let mut times = CallTimes::default();
    // One call in 16 takes longer than the 2.45 s that are left 2.3 s after the request.
    for call in 0..64 {
        times.record(ms(if call % 16 == 0 { 3_000 } else { 300 }));
    }
    let now = plan.requested + ms(2_300);
    for kind in KINDS {
        let need = CallNeed::new(&route(kind), Some(&times), now + ms(12_000), now);
        assert_eq!(plan.admits(&need, now), kind.repeatable(), "{kind:?}");
    }
}

/// Guards against refusals of nearly all calls of a route for the longest of many.
#[test]
fn rare_long_calls() {
    let plan = stop_plan(8_000);
    let mut times = CallTimes::default();
    for call in 0..128 {
        times.record(ms(if call % 64 == 0 { 6_000 } else { 1_000 }));
    }
    let now = plan.requested + ms(2_300);
    for kind in KINDS {
        let need = CallNeed::new(&route(kind), Some(&times), now + ms(12_000), now);
        assert!(plan.admits(&need, now), "{kind:?}");
    }
}

#[test]
fn nothing_measured() {
    let plan = stop_plan(3_000);
    let call = |kind| need(kind, 12_000, None);
    assert!(admits_after(&plan, &call(CallKind::Idempotent), 1_500));
    assert!(admits_after(&plan, &call(CallKind::NonIdempotent), 1_000));
    assert!(!admits_after(&plan, &call(CallKind::NonIdempotent), 1_500));
    // The target of a stream is that of its first event.
    let stream = call(CallKind::Stream { resumable: true });
    assert!(!admits_after(&plan, &stream, 0));
    assert!(admits_after(&stop_plan(8_000), &stream, 2_400));
}

#[test]
fn nothing_after_the_end() {
    for grace_ms in [0, 1, 50, 1_000, 2_000, 3_000, 5_000, 60_000] {
        let plan = stop_plan(grace_ms);
        let end = plan.requested + ms(grace_ms);
        assert!(plan.requested <= plan.closes_at());
        assert!(plan.closes_at() <= plan.responds_at());
        assert!(plan.responds_at() <= plan.ends_at() && plan.ends_at() <= end);
        for kind in KINDS {
            for measured in [Some(0), Some(10), None] {
                let need = need(kind, 12_000, measured);
                assert!(!plan.admits(&need, plan.responds_at()));
                assert!(!plan.admits(&need, end));
                assert!(!plan.admits(&need, end + ms(10_000)));
            }
        }
    }
}

#[test]
fn admission_is_monotonic() {
    for grace_ms in [1_000, 2_000, 3_000, 5_000, 8_000] {
        let plan = stop_plan(grace_ms);
        for kind in KINDS {
            for measured in [None, Some(20), Some(700), Some(4_000)] {
                let need = need(kind, 9_000, measured);
                let admitted: Vec<bool> = (0..grace_ms)
                    .step_by(10)
                    .map(|after| admits_after(&plan, &need, after))
                    .collect();
                assert!(admitted.is_sorted_by(|before, after| before >= after));
            }
        }
    }
}

#[test]
fn quantiles_of_the_latest() {
    let mut times = CallTimes::default();
    for _ in 0..7 {
        times.record(ms(9_000));
    }
    assert_eq!(times.quantile(1.0), None);
    times.record(ms(9_000));
    assert_eq!(times.quantile(0.9), Some(ms(9_000)));
    for time in 1..=128 {
        times.record(ms(time));
    }
    assert_eq!(times.quantile(1.0), Some(ms(128)));
    assert_eq!(times.quantile(0.9), Some(ms(116)));
    assert_eq!(times.quantile(0.0), Some(ms(1)));
}
