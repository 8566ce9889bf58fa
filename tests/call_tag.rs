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
        resume_after: None,
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
