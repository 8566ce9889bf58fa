//! Guards against a backoff that does not grow or reset, and against upstreams that are suspect
//! although they fail no more often than the others.

use std::time::Duration;

use hawthornrouter::mono::MonoTime;
use hawthornrouter::policy::call_attempts::AttemptFault;
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
        health.mark_unreachable(at(now));
        let mut backoff = 0;
        while health.in_backoff(at(now + backoff)) {
            backoff += 10;
        }
        backoffs.push(backoff);
        now += backoff;
    }
    assert_eq!(backoffs, [250, 500, 1000, 2000, 2000, 2000]);
    health.record_activity(at(now));
    health.mark_unreachable(at(now));
    assert!(
        !health.in_backoff(at(now + 250)),
        "a response did not reset the backoff"
    );
}

#[test]
fn suspect_only_above_usual_failures() {
    let mut bad = UpstreamHealth::default();
    let mut usual = UpstreamHealth::default();
    for step in 0..40 {
        bad.record_failure(at(step));
        // One call in seven fails, as at a healthy service.
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
    // If all upstreams fail alike, none is suspect.
    assert!(!bad.is_suspect(bad.failure_share(now), now));
    assert!(
        !bad.is_suspect(share, at(10_000)),
        "old failures still count"
    );
}

/// The caller's stream can't go on with such an answer, but the upstream works.
#[test]
fn client_error_is_no_failure() {
    for status in [204, 301, 400, 404, 409] {
        let mut health = UpstreamHealth::default();
        health.record_fault(AttemptFault::Failed(status), false, at(0));
        assert!(health.failure_share(at(0)) <= 0.0, "{status}");
    }
    for status in [408, 429, 500, 503] {
        let mut health = UpstreamHealth::default();
        health.record_fault(AttemptFault::Failed(status), false, at(0));
        assert!(health.failure_share(at(0)) > 0.0, "{status}");
    }
}
