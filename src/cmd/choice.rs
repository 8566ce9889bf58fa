//! `hawthornctl choice LISTENER --service S --prompt PARTS`: shows where a call would go now.

use std::net::SocketAddr;

use crate::cmd::admin_call;
use crate::error::{RouterError, RouterResult};
use crate::forward::choice_explanation::{ChoiceQuestion, ChoiceReport};
use crate::ids::ServiceId;

/// Asks the router whose metrics listener is at `listener` and prints the candidates for a call, those
/// that its prompt prefers first. Nothing is sent to an upstream.
pub fn run(listener: SocketAddr, service: ServiceId, prompt: Option<String>) -> RouterResult<()> {
    let question = ChoiceQuestion {
        service,
        prompt: prompt.unwrap_or_default(),
    };
    let target = question.target().ok_or_else(|| {
        RouterError::Usage("the prompt must be parts as callers send them".to_owned())
    })?;
    let mut report: ChoiceReport = admin_call::get_open_json(listener, &target)?;
    let order = |place: Option<usize>| (place.is_none(), place);
    report
        .candidates
        .sort_by_key(|candidate| order(candidate.preference));
    println!("stage      {}", report.stage);
    match (&report.chosen, report.retry_after_ms) {
        (Some(chosen), _) => println!("chosen     {chosen}"),
        (None, Some(wait)) => println!("chosen     none, retry after {wait} ms"),
        (None, None) => println!("chosen     none"),
    }
    println!(
        "bound      {} x mean load per slot x slots + {}\n",
        report.bound_multiple, report.bound_slack
    );
    println!(
        "{:<24} {:<14} {:>6} {:>6} {:>8} {:>5} {:>8} {:<12} WAIT_MS",
        "UPSTREAM", "DATA_CENTRE", "PLACE", "SLOTS", "LOAD", "OWN", "REPORTED", "STATE"
    );
    for candidate in &report.candidates {
        let number = |number: Option<u64>| number.map_or_else(|| "-".to_owned(), |n| n.to_string());
        println!(
            "{:<24} {:<14} {:>6} {:>6} {:>8.1} {:>5} {:>8} {:<12} {}",
            candidate.upstream.as_str(),
            candidate.data_center.as_str(),
            number(candidate.preference.map(|place| place as u64)),
            candidate.slots,
            candidate.load,
            candidate.own_calls,
            if candidate.is_reported { "yes" } else { "no" },
            candidate.state,
            number(candidate.wait_ms)
        );
    }
    Ok(())
}
