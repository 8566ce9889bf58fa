//! Guards against a repeated call that is not recognised, and against different calls that are taken
//! for one.

use bytes::Bytes;
use hawthornrouter::dialect::CallHead;
use hawthornrouter::ids::{AccountId, CallTag};
use http::{HeaderMap, HeaderValue, Method};

fn head(method: Method, host: &str, target: &str) -> CallHead {
    CallHead {
        request_id: Bytes::from_static(b"id-1"),
        host: host.to_owned(),
        method,
        target: target.to_owned(),
        timeout: None,
        key: None,
        prompt: Vec::new(),
        usage: None,
        length_hint: None,
        resume_after: None,
        resumes: None,
        is_relayed: false,
        spent: None,
        headers: HeaderMap::new(),
    }
}

fn account(name: &str) -> AccountId {
    name.parse().expect("an account id")
}

fn tag(host: &str, target: &str, name: &str, body: &str) -> CallTag {
    head(Method::POST, host, target).work_tag(Some(&account(name)), body.as_bytes())
}

#[test]
fn repeat_has_same_tag() {
    let first = head(Method::POST, "shop", "/ask");
    let mut again = first.clone();
    again.request_id = Bytes::from_static(b"id-2");
    again.timeout = Some(std::time::Duration::from_secs(1));
    again.key = Some(Bytes::from_static(b"second key"));
    again.resume_after = Some(7);
    again
        .headers
        .insert("x-other", HeaderValue::from_static("1"));
    let ana = account("ana");
    assert_eq!(
        first.work_tag(Some(&ana), b"body"),
        again.work_tag(Some(&ana), b"body")
    );
}

#[test]
fn other_work_has_other_tag() {
    let base = tag("shop", "/ask", "ana", "body");
    for other in [
        tag("shoq", "/ask", "ana", "body"),
        tag("shop", "/ask?x=1", "ana", "body"),
        tag("shop", "/ask", "bo", "body"),
        tag("shop", "/ask", "ana", "bodx"),
        head(Method::PUT, "shop", "/ask").work_tag(Some(&account("ana")), b"body"),
        head(Method::POST, "shop", "/ask").work_tag(None, b"body"),
    ] {
        assert_ne!(base, other);
    }
}

#[test]
fn fields_do_not_run_into_each_other() {
    assert_ne!(
        tag("shop", "/ask", "ana", "b"),
        tag("shop/", "ask", "ana", "b")
    );
    assert_ne!(
        tag("shop", "/ask", "ana", "bo"),
        tag("shop", "/ask", "an", "abo")
    );
}

/// Prints the time that a tag takes, for docs/CAPACITY.md.
#[test]
#[ignore = "prints times, checks nothing"]
fn cost_of_tag() {
    let call = head(Method::POST, "shop", "/ask/long-enough-to-be-usual?x=1");
    let ana = account("ana");
    for bytes in [64, 4096, 1 << 20] {
        let body = vec![7u8; bytes];
        let rounds = (1 << 26) / bytes.max(256);
        let start = std::time::Instant::now();
        for _ in 0..rounds {
            std::hint::black_box(call.work_tag(Some(&ana), std::hint::black_box(&body)));
        }
        let nanos = start.elapsed().as_nanos() as f64 / rounds as f64;
        println!("{bytes} bytes: {nanos:.0} ns");
    }
}
