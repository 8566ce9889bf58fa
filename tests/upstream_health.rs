//! Upstreams judged by what is seen of them.

use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::upstream_health::UpstreamHealth;

fn at(millis: u64) -> MonoTime {
    MonoTime(Duration::from_millis(millis))
}

#[test]
fn rest_grows_and_ends() {
    let mut health = UpstreamHealth::default();
    let mut now = 1000;
    let mut rests = Vec::new();
    for _ in 0..6 {
        health.mark_unreachable(at(now));
        let mut rest = 0;
        while health.in_backoff(at(now + rest)) {
            rest += 10;
        }
        rests.push(rest);
        now += rest;
    }
    assert_eq!(rests, [250, 500, 1000, 2000, 2000, 2000]);
    health.record_activity(at(now));
    health.mark_unreachable(at(now));
    assert!(
        !health.in_backoff(at(now + 250)),
        "it starts over once heard"
    );
}

#[test]
fn failing_among_others() {
    let mut bad = UpstreamHealth::default();
    let mut usual = UpstreamHealth::default();
    for step in 0..40 {
        bad.record_failure(at(step));
        // One call in seven fails for reasons of its own.
        if step % 7 == 0 {
            usual.record_failure(at(step));
        } else {
            usual.record_success(at(step));
        }
    }
    let now = at(40);
    let share = usual.failure_share(now);
    assert!(bad.is_suspect(share, now));
    assert!(!usual.is_suspect(share, now));
    // When all fail alike, none stands out.
    assert!(!bad.is_suspect(bad.failure_share(now), now));
    assert!(
        !bad.is_suspect(share, at(10_000)),
        "left alone, it gets calls again"
    );
}
