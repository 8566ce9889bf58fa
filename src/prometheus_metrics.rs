//! Metrics of a forwarding router, served in the Prometheus text format.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Bounds of the latency histograms in seconds, closest together around the latency targets of
/// 150 ms to 2.5 s.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0, 12.0,
];

/// The metrics of one forwarding router.
#[derive(Clone, Debug)]
pub struct PrometheusMetrics {
    registry: Registry,
    /// Number of finished calls, by kind and outcome.
    pub calls: IntCounterVec,
    /// Seconds from the start of a call to the end of its response, by kind.
    pub call_seconds: HistogramVec,
    /// Seconds from the start of a call to the first event of its stream.
    pub first_event_seconds: Histogram,
    /// Number of failed attempts, by fault.
    pub faults: IntCounterVec,
    /// Number of connections opened to upstreams.
    pub connects: IntCounter,
    /// Number of times that a call was sent to one more upstream after a failed attempt.
    pub repeats: IntCounter,
    /// Number of times that a call was sent to another upstream because nothing came from the one
    /// that had it, by outcome.
    pub replacements: IntCounterVec,
    /// Number of calls that were lost without an answer when their upstream crashed.
    pub crashed_calls: IntCounter,
    /// Number of log lines dropped by the rate limits.
    pub lines_left_out: IntCounter,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Number of items of the configuration in force that are left out, by kind.
    pub config_items_unusable: IntGaugeVec,
    /// Era of the store that is known to this router.
    pub store_era: IntGauge,
    /// Revision of the store up to which all changes are known to this router.
    pub store_revision: IntGauge,
    /// Milliseconds since the time up to which all changes of the store are known.
    pub store_age_ms: IntGauge,
    /// Whether this router reads the store itself.
    pub store_reader: IntGauge,
    /// Number of known upstreams.
    pub upstreams: IntGauge,
    /// Number of upstreams that a restored store lists though they were removed before.
    pub upstreams_withheld: IntGauge,
    /// Number of evacuations by kind: in force, of an unknown data centre, not listed by a restored store,
    /// and keys that are not used.
    pub evacuations: IntGaugeVec,
    /// Number of registered upstreams in evacuated data centres.
    pub upstreams_evacuated: IntGauge,
    /// Number of upstreams that limit the rate of requests.
    pub upstreams_limited: IntGauge,
    /// Number of upstreams that are cold after a start.
    pub upstreams_cold: IntGauge,
    /// Number of calls that were not written because their upstream had become cold.
    pub cold_calls_held: IntCounter,
    /// Number of statements about cold upstreams that can't be meant.
    pub cold_ignored: IntCounter,
    /// Number of registered upstreams that have said that they leave.
    pub upstreams_leaving: IntGauge,
    /// Number of upstreams that have asked this router to wait.
    pub upstreams_waiting: IntGauge,
    /// Number of registered upstreams whose addresses others have.
    pub upstreams_gone: IntGauge,
    /// Number of streams whose versions are known.
    pub stream_records: IntGauge,
    /// Whether streams may be taken up at several software versions.
    pub versions_mixed: IntGauge,
    /// Number of calls that took a stream up, by how its version was found.
    pub take_ups: IntCounterVec,
    /// Number of upstreams whose cached parts this router knows.
    pub part_lists: IntGauge,
    /// Number of upstreams whose cached parts this router does not know.
    pub part_lists_missing: IntGauge,
    /// Number of questions to upstreams for their cached parts, by outcome.
    pub part_questions: IntCounterVec,
    /// Number of reads of the store that calls have asked for, by outcome.
    pub store_checks: IntCounterVec,
    /// Number of offers of calls to other routers, by outcome.
    pub relayed: IntCounterVec,
    /// Accounts of attempts in calls that other routers passed on, by outcome.
    pub relayed_accounts: IntCounterVec,
    /// Frames of other routers that can't be read, by kind.
    pub unreadable_frames: IntCounterVec,
    /// Routers that are up and have not said that they can do what this build counts on, by fact.
    pub routers_without: IntGaugeVec,
    /// Whether this router reaches no upstream.
    pub stranded: IntGauge,
    /// Number of routers that are up.
    pub routers: IntGauge,
    /// Number of prompt parts and calls that are held back.
    pub suspects_held: IntGauge,
    /// Number of calls in progress.
    pub calls_open: IntGauge,
    /// Number of idle connections to upstreams.
    pub idle_links: IntGauge,
    /// Bytes that are reserved in the memory budget, by purpose.
    pub memory_reserved: IntGaugeVec,
    /// Number of bodies, responses and connections that had no room, by reason.
    pub room_refusals: IntCounterVec,
}

impl PrometheusMetrics {
    /// Registers every metric in a new registry.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("hawthorn".to_owned()), None)?;
        let counters = |name, help, labels| register_counters(&registry, name, help, labels);
        let counter = |name, help| register_counter(&registry, name, help);
        let gauge = |name, help| register_gauge(&registry, name, help);
        let (call_seconds, first_event_seconds) = register_latencies(&registry)?;
        let (take_ups, store_checks) = register_take_ups(&registry)?;
        let (part_lists, part_lists_missing, part_questions) = register_parts(&registry)?;
        let (relayed, relayed_accounts) = register_relays(&registry)?;
        let (unreadable_frames, routers_without) = register_peers(&registry)?;
        let (evacuations, upstreams_evacuated) = register_evacuations(&registry)?;
        let (upstreams_cold, cold_calls_held, cold_ignored) = register_cold(&registry)?;
        let (memory_reserved, room_refusals) = register_room(&registry)?;
        Ok(Self {
            calls: counters("calls_total", "Finished calls", &["kind", "outcome"])?,
            call_seconds,
            first_event_seconds,
            faults: counters("attempt_faults_total", "Failed attempts", &["fault"])?,
            connects: counter("connects_total", "Connections opened to upstreams")?,
            repeats: counter(
                "repeats_total",
                "Calls sent to one more upstream after a failed attempt",
            )?,
            replacements: counters(
                "replacements_total",
                "Calls sent to another upstream because nothing came from the one that had them",
                &["outcome"],
            )?,
            crashed_calls: counter(
                "crashed_calls_total",
                "Calls without a complete answer when their upstream crashed",
            )?,
            lines_left_out: counter(
                "log_lines_left_out_total",
                "Log lines dropped by the rate limits",
            )?,
            config_version: gauge("config_version", "Version of the configuration in force")?,
            config_items_unusable: register_config_items(&registry)?,
            store_era: gauge(
                "store_era",
                "Number of times that the store was restored from an older copy",
            )?,
            store_revision: gauge(
                "store_revision",
                "Revision of the store up to which all changes are known",
            )?,
            store_age_ms: gauge(
                "store_age_ms",
                "Milliseconds since the time up to which all changes of the store are known",
            )?,
            store_reader: gauge("store_reader", "Whether this router reads the store itself")?,
            upstreams: gauge("upstreams", "Known upstreams")?,
            upstreams_withheld: gauge(
                "upstreams_withheld",
                "Upstreams that a restored store lists though they were removed before",
            )?,
            evacuations,
            upstreams_evacuated,
            upstreams_limited: gauge(
                "upstreams_limited",
                "Upstreams that limit the rate of requests",
            )?,
            upstreams_cold,
            cold_calls_held,
            cold_ignored,
            upstreams_leaving: gauge(
                "upstreams_leaving",
                "Registered upstreams that have said that they leave",
            )?,
            upstreams_waiting: gauge(
                "upstreams_waiting",
                "Upstreams that have asked this router to wait",
            )?,
            upstreams_gone: gauge(
                "upstreams_gone",
                "Upstreams that are registered though others have their addresses",
            )?,
            stream_records: gauge("stream_records", "Streams whose versions are known")?,
            versions_mixed: gauge(
                "versions_mixed",
                "Whether streams may be taken up at several software versions",
            )?,
            take_ups,
            part_lists,
            part_lists_missing,
            part_questions,
            store_checks,
            relayed,
            relayed_accounts,
            unreadable_frames,
            routers_without,
            stranded: gauge("stranded", "Whether this router reaches no upstream")?,
            routers: gauge("routers", "Routers that are up")?,
            suspects_held: gauge("suspects_held", "Prompt parts and calls that are held back")?,
            calls_open: gauge("calls_open", "Calls in progress")?,
            idle_links: gauge("idle_links", "Idle connections to upstreams")?,
            memory_reserved,
            room_refusals,
            registry,
        })
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn register_counter(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn register_config_items(registry: &Registry) -> Result<IntGaugeVec, prometheus::Error> {
    let items = IntGaugeVec::new(
        Opts::new(
            "config_items_unusable",
            "Items of the configuration in force that are left out",
        ),
        &["kind"],
    )?;
    registry.register(Box::new(items.clone()))?;
    Ok(items)
}

/// Registers the counters of calls that take streams up, and of the reads of the store for them.
fn register_take_ups(
    registry: &Registry,
) -> Result<(IntCounterVec, IntCounterVec), prometheus::Error> {
    let take_ups = register_counters(
        registry,
        "take_ups_total",
        "Calls that took a stream up, by how its version was found",
        &["version"],
    )?;
    let store_checks = register_counters(
        registry,
        "store_checks_total",
        "Reads of the store that calls which take a stream up have asked for, by outcome",
        &["outcome"],
    )?;
    Ok((take_ups, store_checks))
}

/// Registers the gauges of upstreams whose cached parts are known after a start, and not known, and the
/// counters of questions for them.
fn register_parts(
    registry: &Registry,
) -> Result<(IntGauge, IntGauge, IntCounterVec), prometheus::Error> {
    let known = register_gauge(
        registry,
        "part_lists",
        "Upstreams whose cached parts this router knows after a start",
    )?;
    let missing = register_gauge(
        registry,
        "part_lists_missing",
        "Upstreams whose cached parts this router does not know after a start",
    )?;
    let questions = register_counters(
        registry,
        "part_questions_total",
        "Questions to upstreams for their cached parts",
        &["outcome"],
    )?;
    Ok((known, missing, questions))
}

/// Registers the counters of calls that routers pass on, by outcome, and of their accounts.
fn register_relays(
    registry: &Registry,
) -> Result<(IntCounterVec, IntCounterVec), prometheus::Error> {
    let relayed = register_counters(
        registry,
        "relayed_total",
        "Offers of calls to other routers",
        &["reason", "outcome"],
    )?;
    let accounts = register_counters(
        registry,
        "relayed_accounts_total",
        "Accounts of attempts in calls that other routers passed on",
        &["outcome"],
    )?;
    Ok((relayed, accounts))
}

/// Registers the metrics about evacuations.
fn register_evacuations(registry: &Registry) -> Result<(IntGaugeVec, IntGauge), prometheus::Error> {
    let evacuations = IntGaugeVec::new(
        Opts::new("evacuations", "Evacuations of data centres"),
        &["kind"],
    )?;
    let upstreams = IntGauge::new(
        "upstreams_evacuated",
        "Registered upstreams in evacuated data centres",
    )?;
    registry.register(Box::new(evacuations.clone()))?;
    registry.register(Box::new(upstreams.clone()))?;
    Ok((evacuations, upstreams))
}

/// Registers the metrics of what other routers send and can do.
fn register_peers(registry: &Registry) -> Result<(IntCounterVec, IntGaugeVec), prometheus::Error> {
    let unreadable = register_counters(
        registry,
        "unreadable_frames_total",
        "Frames of other routers that can't be read",
        &["frame"],
    )?;
    let without = IntGaugeVec::new(
        Opts::new(
            "routers_without",
            "Routers that are up and have not said that they can do what this one counts on",
        ),
        &["fact"],
    )?;
    registry.register(Box::new(without.clone()))?;
    Ok((unreadable, without))
}

/// Registers the metrics of cold upstreams.
fn register_cold(
    registry: &Registry,
) -> Result<(IntGauge, IntCounter, IntCounter), prometheus::Error> {
    let upstreams = IntGauge::new("upstreams_cold", "Upstreams that are cold after a start")?;
    registry.register(Box::new(upstreams.clone()))?;
    let held = IntCounter::new(
        "cold_calls_held_total",
        "Calls that were not written because their upstream had become cold",
    )?;
    registry.register(Box::new(held.clone()))?;
    let ignored = IntCounter::new(
        "cold_statements_ignored_total",
        "Statements about cold upstreams that can't be meant",
    )?;
    registry.register(Box::new(ignored.clone()))?;
    Ok((upstreams, held, ignored))
}

/// Registers the metrics of the memory budget.
fn register_room(registry: &Registry) -> Result<(IntGaugeVec, IntCounterVec), prometheus::Error> {
    let reserved = IntGaugeVec::new(
        Opts::new(
            "memory_reserved_bytes",
            "Bytes reserved in the memory budget",
        ),
        &["purpose"],
    )?;
    registry.register(Box::new(reserved.clone()))?;
    let refusals = register_counters(
        registry,
        "room_refusals_total",
        "Bodies, responses and connections that had no room",
        &["reason"],
    )?;
    Ok((reserved, refusals))
}

/// Registers the histograms of the times of calls and of first events.
fn register_latencies(registry: &Registry) -> Result<(HistogramVec, Histogram), prometheus::Error> {
    let opts =
        |name: &str, help: &str| HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let call_seconds = HistogramVec::new(
        opts(
            "call_seconds",
            "Seconds from the start of a call to the end of its response",
        ),
        &["kind"],
    )?;
    registry.register(Box::new(call_seconds.clone()))?;
    let first_event_seconds = Histogram::with_opts(opts(
        "first_event_seconds",
        "Seconds from the start of a call to the first event of its stream",
    ))?;
    registry.register(Box::new(first_event_seconds.clone()))?;
    Ok((call_seconds, first_event_seconds))
}

/// Sets a gauge to `count`, or to `i64::MAX` if it does not fit.
pub fn set_count<N: TryInto<i64>>(gauge: &IntGauge, count: N) {
    gauge.set(count.try_into().unwrap_or(i64::MAX));
}
