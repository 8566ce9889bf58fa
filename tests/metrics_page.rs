//! The page of metrics names what the code serves.

use std::collections::BTreeSet;

use hawthornrouter::prometheus_metrics::PrometheusMetrics;

const PAGE: &str = include_str!("../docs/METRICS.md");

#[test]
fn same_names() {
    let telemetry = PrometheusMetrics::new().expect("names are unique");
    // A family shows only once it has a member.
    telemetry.calls.with_label_values(&["a", "b"]).inc();
    telemetry
        .call_seconds
        .with_label_values(&["a"])
        .observe(0.1);
    telemetry.faults.with_label_values(&["a"]).inc();
    let text = String::from_utf8(telemetry.text().expect("text")).expect("UTF-8");
    let served: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE hawthorn_"))
        .filter_map(|line| line.split(' ').next())
        .collect();
    let section = PAGE.split("## hawthorn-router").next().expect("a section");
    let named: BTreeSet<&str> = section
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect();
    assert_eq!(served, named);
}
