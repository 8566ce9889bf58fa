//! Backoff of unreachable upstreams and detection of suspect ones.

use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::upstream_health::UpstreamHealth;

fn at(millis: u64) -> MonoTime {
    MonoTime(Duration::from_millis(millis))
}

#[test]
fn backoff_grows_and_resets() {
    let mut health = UpstreamHealth::default();
    let mut now = 1000;
    let mut backoffs = Vec::new();
    for _ in 0..6 {
        health.unreachable(at(now));
        let mut backoff = 0;
        while health.resting(at(now + backoff)) {
            backoff += 10;
        }
        backoffs.push(backoff);
        now += backoff;
    }
    assert_eq!(backoffs, [250, 500, 1000, 2000, 2000, 2000]);
    health.heard(at(now));
    health.unreachable(at(now));
    assert!(
        !health.resting(at(now + 250)),
        "a response did not reset the backoff"
    );
}

#[test]
fn suspect_only_above_usual_failures() {
    let mut bad = UpstreamHealth::default();
    let mut usual = UpstreamHealth::default();
    for step in 0..40 {
        bad.failed(at(step));
        // One call in seven fails, as at a healthy service.
        if step % 7 == 0 {
            usual.failed(at(step));
        } else {
            usual.succeeded(at(step));
        }
    }
    let now = at(40);
    let share = usual.failure_share(now);
    assert!(bad.doubtful(share, now));
    assert!(!usual.doubtful(share, now));
    // If all upstreams fail alike, none is suspect.
    assert!(!bad.doubtful(bad.failure_share(now), now));
    assert!(!bad.doubtful(share, at(10_000)), "old failures still count");
}
