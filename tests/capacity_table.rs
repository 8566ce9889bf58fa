//! Guards against unintended changes of the capacity table and against fleet sizes whose cost
//! exceeds the budget. The slopes are fixed, so the results don't depend on the machine.

use hawthornrouter::bench::capacity::{BUDGET, FUTURE_CELLS, MeasuredSlopes, TODAY, estimate_cost};
use hawthornrouter::cmd::capacity::render;

const SLOPES: MeasuredSlopes = MeasuredSlopes {
    request_ns_base: 1000.0,
    request_ns_per_engine: 500.0,
    digest_ns_per_engine: 150.0,
    digest_bytes_base: 11.0,
    digest_bytes_per_engine: 15.0,
    account_bytes: 144.0,
    account_memory: 400.0,
};

#[test]
fn table_text() {
    insta::assert_snapshot!(render(&SLOPES));
}

#[test]
fn budget_rows() {
    for size in [TODAY, FUTURE_CELLS] {
        let cost = estimate_cost(&size, &SLOPES);
        assert!(cost.core_percent <= BUDGET.core_percent, "{cost:?}");
        assert!(cost.memory_mib <= BUDGET.memory_mib, "{cost:?}");
        assert!(cost.config_reads <= BUDGET.config_reads, "{cost:?}");
    }
}

/// The control traffic of a daemon must stay within its budget. KNOWN-RED.txt lists both sizes as
/// exceeding it; a listed excess is printed and tolerated.
#[test]
fn byte_budget() {
    for (name, size) in [("today", TODAY), ("future", FUTURE_CELLS)] {
        let bytes = estimate_cost(&size, &SLOPES).bytes.total();
        let known = include_str!("../KNOWN-RED.txt").contains(&format!("capacity bytes {name}"));
        if bytes > BUDGET.bytes && known {
            println!(
                "known red: capacity bytes {name}: {bytes:.0}, limit {}",
                BUDGET.bytes
            );
        } else {
            assert!(bytes <= BUDGET.bytes, "{name}: {bytes}");
        }
    }
}
