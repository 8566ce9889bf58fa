//! Guards against a `hawthornctl trace` that omits lines of the request or shows unrelated ones,
//! and against a log rate limiter that admits too many lines or miscounts the suppressed ones.

use std::path::Path;

use hawthornrouter::cmd::trace::{parse_log, trace_request};
use hawthornrouter::log_rate_limiter::LogRateLimiter;
use hawthornrouter::mono::MonoTime;
use std::time::Duration;

const LOG: &str = r#"
a line in another format
ts=100.000 level=info event=config-accepted version=3 revision=9 routes=4
ts=104.200 level=info event=store-lost reason="status 503: \"busy\"" revision=9
ts=104.900 level=info event=attempt-failed id=a1 fault=broken next=Retry ms=120
ts=105.000 level=info event=call id=a1 outcome=unknown status=502 ms=900
ts=105.100 level=info event=call id=a2 outcome=answered status=200 ms=10
ts=109.000 level=info event=store-regained revision=12
"#;

#[test]
fn request_lines_and_state_changes() {
    let mut lines = parse_log(Path::new("logs/r1.log"), LOG);
    assert_eq!(lines.len(), 6);
    lines.extend(parse_log(
        Path::new("all.log"),
        "  12.5 r2 ts=104.300 level=info event=store-lost revision=9\n\
         \x20 12.6 r2 ts=106.000 level=info event=call id=a1 outcome=answered status=200 ms=5\n",
    ));
    let trace = trace_request("a1", lines);
    let shown: Vec<(&str, &str)> = trace
        .iter()
        .map(|line| (line.router.as_str(), line.event.as_str()))
        .collect();
    // r2 lost the store more than a second before it received the request, so this is not shown.
    assert_eq!(
        shown,
        [
            ("r1", "store-lost"),
            ("r1", "attempt-failed"),
            ("r1", "call"),
            ("r2", "call"),
        ]
    );
    let reason = &trace[0].pairs[1];
    assert_eq!(
        (reason.key.as_str(), reason.value.as_str()),
        ("reason", "status 503: \"busy\"")
    );
    assert!(trace_request("a9", parse_log(Path::new("r1.log"), LOG)).is_empty());
}

#[test]
fn log_rate_limit() {
    let mut limiter = LogRateLimiter::default();
    let mut written = 0;
    for millis in 0..2000u64 {
        written += u32::from(limiter.admit(MonoTime(Duration::from_millis(5000 + millis))));
    }
    assert_eq!(written, 200);
    assert_eq!(limiter.take_suppressed(), 1800);
    assert_eq!(limiter.take_suppressed(), 0);
}
