//! Metrics of a forwarding router, served as text.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Bounds of the latency histograms in seconds: around the targets of 150 ms to 2.5 s.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.5, 0.8, 1.2, 2.5, 5.0, 12.0,
];

/// The metrics of one router.
#[derive(Clone, Debug)]
pub struct PrometheusMetrics {
    registry: Registry,
    /// Calls ended, by kind and outcome.
    pub calls: IntCounterVec,
    /// Seconds to the end of an answer, by kind.
    pub call_seconds: HistogramVec,
    /// Seconds to the first event of a stream.
    pub first_event_seconds: Histogram,
    /// Attempts that ended in a fault, by fault.
    pub faults: IntCounterVec,
    /// Connections opened to upstreams.
    pub connects: IntCounter,
    /// Calls that a second upstream received.
    pub repeats: IntCounter,
    /// Log lines left out.
    pub lines_left_out: IntCounter,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Revision of the store up to which all changes are known.
    pub store_revision: IntGauge,
    /// Milliseconds since the store answered.
    pub store_age_ms: IntGauge,
    /// Upstreams known.
    pub upstreams: IntGauge,
    /// Routers that are up.
    pub routers: IntGauge,
    /// Calls in progress.
    pub calls_open: IntGauge,
    /// Idle connections to upstreams.
    pub idle_links: IntGauge,
}

impl PrometheusMetrics {
    /// Registers every metric.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("hawthorn".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let opts = |name: &str, help: &str| {
            HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec())
        };
        let call_seconds = HistogramVec::new(
            opts("call_seconds", "Seconds to the end of an answer"),
            &["kind"],
        )?;
        registry.register(Box::new(call_seconds.clone()))?;
        let first_event_seconds = Histogram::with_opts(opts(
            "first_event_seconds",
            "Seconds to the first event of a stream",
        ))?;
        registry.register(Box::new(first_event_seconds.clone()))?;
        Ok(Self {
            calls: counters("calls_total", "Calls ended", &["kind", "outcome"])?,
            call_seconds,
            first_event_seconds,
            faults: counters(
                "attempt_faults_total",
                "Attempts ended in a fault",
                &["fault"],
            )?,
            connects: counter("connects_total", "Connections opened to upstreams")?,
            repeats: counter("repeats_total", "Calls that a second upstream received")?,
            lines_left_out: counter("log_lines_left_out_total", "Log lines left out")?,
            config_version: gauge("config_version", "Version of the configuration in force")?,
            store_revision: gauge("store_revision", "Revision of the store that is known")?,
            store_age_ms: gauge("store_age_ms", "Milliseconds since the store answered")?,
            upstreams: gauge("upstreams", "Upstreams known")?,
            routers: gauge("routers", "Routers that are up")?,
            calls_open: gauge("calls_open", "Calls in progress")?,
            idle_links: gauge("idle_links", "Idle connections to upstreams")?,
            registry,
        })
    }

    /// All metrics in the text form.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Sets a gauge to a count.
pub fn set_count<N: TryInto<i64>>(gauge: &IntGauge, count: N) {
    gauge.set(count.try_into().unwrap_or(i64::MAX));
}
