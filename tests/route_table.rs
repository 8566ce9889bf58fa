//! Guards against calls that get the wrong route or service, API keys that grant the wrong account,
//! and configuration mistakes that are not reported.

use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::route::{
    AccountGrant, CallKind, ConfigVersion, EdgeLimits, PriorityRank, RouteProblem, RouteRule,
    RouteTable, ServiceRule, ServiceSplit, TableBuilder,
};
use hawthornrouter::units::ByteSize;

fn limits() -> EdgeLimits {
    EdgeLimits {
        head_bytes: ByteSize(16 << 10),
        body_bytes: ByteSize(1 << 20),
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    }
}

fn rule(host: &str, prefix: &str, splits: &[(&str, u32)]) -> RouteRule {
    RouteRule {
        name: format!("r{}", prefix.replace('/', "-")).parse().unwrap(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        time_limit: Duration::from_secs(1),
        target: Duration::from_secs(1),
        gap_target: None,
        rank: PriorityRank(1),
        splits: splits
            .iter()
            .map(|&(service, weight)| ServiceSplit {
                service: service.parse().unwrap(),
                weight,
            })
            .collect(),
        max_attempts: 1,
        public: false,
        cached_prompts: false,
    }
}

fn table() -> RouteTable {
    TableBuilder::new(ConfigVersion(3), limits())
        .route(rule("a.example", "/", &[("root", 1)]))
        .route(rule("a.example", "/x/", &[("x", 1)]))
        .route(rule("a.example", "/x/y/", &[("xy", 1)]))
        .route(rule("b.example", "/x/", &[("other", 1)]))
        .build()
}

#[test]
fn longest_prefix() {
    let table = table();
    let cases = [
        ("a.example", "/x/y/z", Some("xy")),
        ("a.example", "/x/y/", Some("xy")),
        ("a.example", "/x/y", Some("x")),
        ("a.example", "/x/yy/z", Some("x")),
        ("a.example", "/xx/y/", Some("root")),
        ("a.example", "//x/y/", Some("root")),
        ("a.example", "/x//y/", Some("x")),
        ("a.example", "/%78/", Some("root")),
        ("A.Example:8080", "/x/1", Some("x")),
        ("b.example", "/x/y/z", Some("other")),
        ("b.example", "/y/", None),
        ("c.example", "/x/", None),
        ("a.example", "x", None),
    ];
    for (host, path, service) in cases {
        let found = table.find(host, path);
        let found = found.map(|route| route.splits[0].service.to_string());
        assert_eq!(found.as_deref(), service, "{host}{path}");
    }
    assert_eq!(table.route_count(), 4);
}

#[test]
fn weighted_splits() {
    let rule = rule("a.example", "/", &[("a", 90), ("b", 10), ("c", 0)]);
    let count = |service: &str| {
        (0..1000)
            .filter(|&draw| rule.pick_service(draw).as_str() == service)
            .count()
    };
    assert_eq!((count("a"), count("b"), count("c")), (900, 100, 0));
}

#[test]
fn grants_by_api_key() {
    let open = table();
    assert!(!open.needs_keys());
    let none = TableBuilder::new(ConfigVersion(1), limits())
        .require_keys()
        .build();
    assert!(none.needs_keys() && none.grant(b"k").is_none());
    let grant = AccountGrant {
        account: "ana".parse().unwrap(),
        rank: Some(PriorityRank(0)),
    };
    let keyed = TableBuilder::new(ConfigVersion(1), limits())
        .grant(grant, vec![Bytes::from("k1"), Bytes::from("k2")])
        .build();
    assert_eq!(keyed.grant(b"k2").unwrap().account.as_str(), "ana");
    assert!(keyed.grant(b"k").is_none());
}

#[test]
fn reports_configuration_mistakes() {
    let known = ServiceRule {
        service: "known".parse().unwrap(),
        max_connections: 1,
        copied_tokens_per_ms: 0.0,
        cold: None,
    };
    let mut idle = rule("a.example", "/idle/", &[("known", 1)]);
    idle.time_limit = Duration::ZERO;
    idle.max_attempts = 0;
    let mut second = rule("a.example", "/x/", &[("known", 1)]);
    second.name = "second".parse().unwrap();
    let table = TableBuilder::new(ConfigVersion(1), limits())
        .service(known)
        .route(rule("a.example", "/x/", &[("known", 1)]))
        .route(second)
        .route(rule("a.example", "/open", &[("known", 1), ("lost", 1)]))
        .route(idle)
        .build();
    let found: Vec<String> = table.faults().iter().map(ToString::to_string).collect();
    assert_eq!(
        found,
        [
            "route r-idle-: time limit: found 0, expected more",
            "route r-idle-: attempts: found 0, expected 1 or more",
            "route r-open: prefix: found \"/open\", expected a slash at both ends",
            "route r-open: service: found lost, expected one that is listed",
            "route r-x-: route second of the same host and prefix replaces it",
        ]
    );
    let replaced = table.faults().last().map(|fault| &fault.problem);
    assert_eq!(
        replaced,
        Some(&RouteProblem::Replaced("second".parse().unwrap()))
    );
}
