//! `hawthornctl status ADMIN --token FILE`: shows the status of a router.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use crate::board::StatusSection;
use crate::cmd::admin_call;
use crate::error::RouterResult;
use crate::rules::WorkRank;

/// Reads the status of the router at `admin` and prints it.
pub fn run(admin: SocketAddr, token: &Path) -> RouterResult<()> {
    let status: StatusSection = admin_call::get_json(admin, token, "/v1/status")?;
    print!("{}", render(&status));
    Ok(())
}

/// Formats a status as text.
pub fn render(status: &StatusSection) -> String {
    let mut text = String::new();
    // Writing to a String cannot fail.
    let _ = write_status(&mut text, status);
    text
}

fn write_status(text: &mut String, status: &StatusSection) -> std::fmt::Result {
    writeln!(
        text,
        "stage      {}",
        format!("{:?}", status.stage).to_lowercase()
    )?;
    writeln!(text, "revision   {}", status.revision)?;
    match &status.rejected {
        Some(rejected) => writeln!(
            text,
            "rejected   {}: {}",
            rejected.revision, rejected.reason
        )?,
        None => writeln!(text, "rejected   none")?,
    }
    writeln!(text, "running    {}", status.running)?;
    for rank in WorkRank::ALL {
        writeln!(
            text,
            "waiting    {:<8} {}",
            rank.to_string(),
            status.waiting[rank.index()]
        )?;
    }
    for queue in &status.queues {
        writeln!(
            text,
            "queue      {:<24} {}",
            queue.account.as_str(),
            queue.waiting
        )?;
    }
    writeln!(
        text,
        "ledger     {} held for others {}",
        status.ledger, status.handed_ledgers
    )?;
    writeln!(text, "pauses     {}", status.pauses)?;
    writeln!(
        text,
        "\n{:<20} {:<18} {:>7} {:>6} STEWARD",
        "ENGINE", "STATE", "RUNNING", "SLOTS"
    )?;
    for engine in &status.upstreams {
        writeln!(
            text,
            "{:<20} {:<18} {:>7} {:>6} {}",
            engine.engine.as_str(),
            engine.state.to_string(),
            engine.running,
            engine.slots,
            if engine.steward { "yes" } else { "no" }
        )?;
    }
    writeln!(
        text,
        "\n{:<20} {:<8} {:<9} REVISION",
        "PEER", "ANSWERS", "DRAINING"
    )?;
    for peer in &status.peers {
        let answers = if peer.answers { "yes" } else { "no" };
        let draining = if peer.draining { "yes" } else { "no" };
        writeln!(
            text,
            "{:<20} {answers:<8} {draining:<9} {}",
            peer.vm.as_str(),
            peer.revision
        )?;
    }
    Ok(())
}
