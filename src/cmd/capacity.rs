//! `hawthorn-bench capacity`: prints the capacity table, computed from costs measured in this run.

use std::fmt::Write as _;

use crate::bench::capacity::{
    BUDGET, DaemonCost, FUTURE, FUTURE_CELLS, FleetSize, MeasuredSlopes, TODAY, estimate_cost,
    measure,
};

/// Numbers of engines at which costs are measured. The growth of a cost between the two gives its
/// slope per engine.
const MIN_ENGINES: usize = 20;
const MAX_ENGINES: usize = 400;

/// Measures the slopes, then prints them and the table.
pub fn run() {
    let slopes = measure(MIN_ENGINES, MAX_ENGINES);
    print!("{}", render(&slopes));
}

/// Formats the slopes and the table as Markdown.
pub fn render(slopes: &MeasuredSlopes) -> String {
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = write_slopes(&mut text, slopes);
    let _ = write_table(&mut text, slopes);
    text
}

fn write_slopes(text: &mut String, slopes: &MeasuredSlopes) -> std::fmt::Result {
    writeln!(text, "Slopes, {MIN_ENGINES} to {MAX_ENGINES} engines:\n")?;
    writeln!(text, "| slope | value |\n|---|---|")?;
    let mut row = |name: &str, value: f64| writeln!(text, "| {name} | {value:.1} |");
    row("ns a request, base", slopes.request_ns_base)?;
    row("ns a request and engine", slopes.request_ns_per_engine)?;
    row("ns a digest and engine", slopes.digest_ns_per_engine)?;
    row("bytes a digest, base", slopes.digest_bytes_base)?;
    row("bytes a digest and engine", slopes.digest_bytes_per_engine)?;
    row("bytes an account, packed", slopes.account_bytes)?;
    row("bytes an account, in memory", slopes.account_memory)
}

fn write_table(text: &mut String, slopes: &MeasuredSlopes) -> std::fmt::Result {
    let sizes = [
        ("today", TODAY),
        ("future, one cell", FUTURE),
        ("future, cells", FUTURE_CELLS),
    ];
    writeln!(text, "\nControl of one daemon:\n")?;
    writeln!(
        text,
        "| row | today | future, one cell | future, cells | budget |"
    )?;
    writeln!(text, "|---|---|---|---|---|")?;
    let costs = sizes.map(|(_, size): (&str, FleetSize)| estimate_cost(&size, slopes));
    let mut row = |name: &str, value: fn(&DaemonCost) -> f64, budget: Option<f64>| {
        let cells = costs.iter().map(|cost| cell(value(cost), budget));
        let cells: Vec<String> = cells.collect();
        let budget = budget.map_or_else(|| "-".to_owned(), |budget| format!("{budget}"));
        writeln!(text, "| {name} | {} | {budget} |", cells.join(" | "))
    };
    row("bytes/s: digests", |cost| cost.bytes.digests, None)?;
    row("bytes/s: totals", |cost| cost.bytes.totals, None)?;
    row("bytes/s: slots", |cost| cost.bytes.slots, None)?;
    row("bytes/s: probes", |cost| cost.bytes.probes, None)?;
    row("bytes/s: VM list", |cost| cost.bytes.vm_list, None)?;
    row("bytes/s: watches", |cost| cost.bytes.watches, None)?;
    row(
        "bytes/s: configuration",
        |cost| cost.bytes.configuration,
        None,
    )?;
    row(
        "bytes/s, all",
        |cost| cost.bytes.total(),
        Some(BUDGET.bytes),
    )?;
    row("messages/s", |cost| cost.messages, None)?;
    row(
        "core, %",
        |cost| cost.core_percent,
        Some(BUDGET.core_percent),
    )?;
    row(
        "memory, MiB",
        |cost| cost.memory_mib,
        Some(BUDGET.memory_mib),
    )?;
    row(
        "config reads/s, fleet",
        |cost| cost.config_reads,
        Some(BUDGET.config_reads),
    )
}

/// Formats a value, and marks it if it exceeds its budget.
fn cell(value: f64, budget: Option<f64>) -> String {
    let digits = if value < 10.0 { 3 } else { 0 };
    let mark = if budget.is_some_and(|budget| value > budget) {
        " **over**"
    } else {
        ""
    };
    format!("{value:.digits$}{mark}")
}
