//! One rank at ten times capacity.

use crate::bench::baseline_policy::{BaselinePolicy, BaselineStrategy};
use crate::bench::fleet_sim::FleetSim;
use crate::bench::hawthorn_policy::HawthornPolicy;
use crate::bench::report::ScenarioReport;
use crate::bench::run_record::{RequestEnd, RunRecord};
use crate::bench::setup::{FleetSetup, deployments};
use crate::bench::workload::{RankLoad, WorkloadPlan};
use crate::rules::WorkRank;

/// Start of the flood, in seconds.
const FLOOD_START: f64 = 60.0;

/// End of the flood, in seconds.
const FLOOD_END: f64 = 120.0;

/// Window over which a floor must hold, in seconds.
const FLOOR_WINDOW: f64 = 10.0;

/// Seconds at the start that are not judged.
const WARM_UP: f64 = 20.0;

/// Part of the capacity that each rank asks for before the flood. Every rank asks for more than
/// its floor, so that a floor that is not kept shows.
const QUIET_PARTS: [f64; 3] = [0.33, 0.25, 0.3];

/// Part of the capacity that the flooding rank asks for.
const FLOOD_PART: f64 = 10.0;

/// Longest time until a refusal, in seconds.
const REFUSAL_LIMIT: f64 = 0.05;

/// A flood of long work.
pub fn run_long(seed: u64) -> ScenarioReport {
    run(ScenarioReport::new("flood-long", seed), WorkRank::Long)
}

/// A flood of quick questions.
pub fn run_quick(seed: u64) -> ScenarioReport {
    run(ScenarioReport::new("flood-quick", seed), WorkRank::Quick)
}

fn run(mut report: ScenarioReport, flood: WorkRank) -> ScenarioReport {
    for setup in deployments() {
        let requests = plan(&setup, flood).draw(report.seed);
        let policy = HawthornPolicy::new(setup.routers, &setup.rules);
        let record = FleetSim::new(&setup, policy, requests.clone()).run();
        judge(&mut report, &setup, flood, &record);
        let policy = BaselinePolicy::new(setup.routers, BaselineStrategy::RoundRobin, report.seed);
        let record = FleetSim::new(&setup, policy, requests).run();
        compare(&mut report, &setup, flood, &record);
    }
    report
}

fn plan(setup: &FleetSetup, flood: WorkRank) -> WorkloadPlan {
    let mut loads: Vec<RankLoad> = WorkRank::ALL
        .iter()
        .map(|&rank| RankLoad {
            rank,
            per_second: setup.rate_for(rank, QUIET_PARTS[rank.index()]),
            from: 0.0,
            to: FLOOD_END,
        })
        .collect();
    loads.push(RankLoad {
        rank: flood,
        per_second: setup.rate_for(flood, FLOOD_PART),
        from: FLOOD_START,
        to: FLOOD_END,
    });
    WorkloadPlan::uniform(loads, setup)
}

/// The lowest share of its floor that a rank held in any window of the flood. A rank that asked
/// for less than its floor in a window is judged by what it asked for.
fn worst_floor(record: &RunRecord, setup: &FleetSetup, rank: WorkRank) -> f64 {
    let floor = setup.rules.ranks.of(rank).floor.get() * f64::from(setup.slots());
    let windows = ((FLOOD_END - FLOOD_START) / FLOOR_WINDOW) as u32;
    let kept = (0..windows).map(|window| {
        let from = FLOOD_START + f64::from(window) * FLOOR_WINDOW;
        let held = record.mean_slots(rank, from, from + FLOOR_WINDOW);
        let asked = held + record.mean_waiting(rank, from, from + FLOOR_WINDOW);
        held / floor.min(asked).max(1e-9)
    });
    kept.fold(f64::INFINITY, f64::min)
}

/// How much slower quick questions are in the flood than before it, at 99 in 100.
fn quick_slowdown(record: &RunRecord) -> f64 {
    let quiet = record.quantile(WorkRank::Quick, 0.99, WARM_UP, FLOOD_START);
    record.quantile(WorkRank::Quick, 0.99, FLOOD_START, FLOOD_END) / quiet.max(1e-9)
}

fn judge(report: &mut ScenarioReport, setup: &FleetSetup, flood: WorkRank, record: &RunRecord) {
    let name = setup.name;
    for rank in WorkRank::ALL.into_iter().filter(|&rank| rank != flood) {
        let worst = worst_floor(record, setup, rank);
        report.at_least(&format!("{name}_{rank}_worst_floor"), worst, 0.95);
    }
    if flood == WorkRank::Long {
        let slowdown = quick_slowdown(record);
        report.at_most(&format!("{name}_quick_p99_over_quiet"), slowdown, 1.2);
    }
    let mut refusals = 0_u32;
    let mut slowest: f64 = 0.0;
    let mut without_hint = 0_u32;
    for request in &record.requests {
        if let RequestEnd::Refused { at, refusal } = request.end {
            refusals += 1;
            slowest = slowest.max(at.since(request.accepted).as_secs_f64());
            without_hint += u32::from(refusal.retry_after.is_zero());
        }
    }
    report.figure(&format!("{name}_refusals"), f64::from(refusals));
    report.at_most(&format!("{name}_slowest_refusal_s"), slowest, REFUSAL_LIMIT);
    report.at_most(
        &format!("{name}_refusals_without_hint"),
        f64::from(without_hint),
        0.0,
    );
    let ran = record.requests.iter().filter(|request| {
        matches!(request.end, RequestEnd::Refused { .. }) && request.started.is_some()
    });
    report.at_most(&format!("{name}_refused_and_ran"), ran.count() as f64, 0.0);
    for rank in WorkRank::ALL {
        let target = setup.rules.ranks.of(rank).target.0;
        let good = record.good_share(rank, target, FLOOD_START, FLOOD_END);
        report.figure(&format!("{name}_{rank}_good"), good);
    }
}

fn compare(report: &mut ScenarioReport, setup: &FleetSetup, flood: WorkRank, record: &RunRecord) {
    let name = setup.name;
    for rank in WorkRank::ALL.into_iter().filter(|&rank| rank != flood) {
        let worst = worst_floor(record, setup, rank);
        report.figure(&format!("baseline_fifo_{name}_{rank}_worst_floor"), worst);
    }
    report.figure(
        &format!("baseline_fifo_{name}_quick_p99_over_quiet"),
        quick_slowdown(record),
    );
}
