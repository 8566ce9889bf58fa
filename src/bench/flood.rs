//! The `flood-long` and `flood-quick` scenarios: one rank arrives at ten times the fleet's capacity
//! while the others arrive at a steady rate.

use crate::bench::baseline_policy::{BaselinePolicy, BaselineStrategy};
use crate::bench::fleet_sim::FleetSim;
use crate::bench::hawthorn_policy::HawthornPolicy;
use crate::bench::report::ScenarioReport;
use crate::bench::run_record::{RequestOutcome, RunRecord};
use crate::bench::setup::{FleetSetup, deployments};
use crate::bench::workload::{RankLoad, WorkloadPlan};
use crate::rules::WorkRank;

/// Start of the flood, in seconds.
const FLOOD_START_S: f64 = 60.0;

/// End of the flood, in seconds.
const FLOOD_END_S: f64 = 120.0;

/// Length of the windows over which a rank must get its floor, in seconds.
const FLOOR_WINDOW_S: f64 = 10.0;

/// Time at the start that is not evaluated, in seconds.
const WARM_UP_S: f64 = 20.0;

/// Load of each rank outside the flood, as a share of the capacity. Each is above the rank's floor,
/// so that a violated floor is visible.
const BASE_LOADS: [f64; 3] = [0.33, 0.25, 0.3];

/// Additional load of the flooding rank, as a multiple of the capacity.
const FLOOD_LOAD: f64 = 10.0;

/// Maximum time from arrival to refusal, in seconds.
const MAX_REFUSAL_TIME_S: f64 = 0.05;

/// Runs the scenario with a flood of long requests.
pub fn run_long(seed: u64) -> ScenarioReport {
    run(ScenarioReport::new("flood-long", seed), WorkRank::Long)
}

/// Runs the scenario with a flood of quick requests.
pub fn run_quick(seed: u64) -> ScenarioReport {
    run(ScenarioReport::new("flood-quick", seed), WorkRank::Quick)
}

fn run(mut report: ScenarioReport, flood: WorkRank) -> ScenarioReport {
    for setup in deployments() {
        let requests = plan(&setup, flood).draw(report.seed);
        let policy = HawthornPolicy::new(setup.routers, &setup.rules);
        let record = FleetSim::new(&setup, policy, requests.clone()).run();
        check_bounds(&mut report, &setup, flood, &record);
        let policy = BaselinePolicy::new(setup.routers, BaselineStrategy::RoundRobin, report.seed);
        let record = FleetSim::new(&setup, policy, requests).run();
        report_baseline(&mut report, &setup, flood, &record);
    }
    report
}

fn plan(setup: &FleetSetup, flood: WorkRank) -> WorkloadPlan {
    let mut loads: Vec<RankLoad> = WorkRank::ALL
        .iter()
        .map(|&rank| RankLoad {
            rank,
            per_second: setup.rate_for(rank, BASE_LOADS[rank.index()]),
            from: 0.0,
            to: FLOOD_END_S,
        })
        .collect();
    loads.push(RankLoad {
        rank: flood,
        per_second: setup.rate_for(flood, FLOOD_LOAD),
        from: FLOOD_START_S,
        to: FLOOD_END_S,
    });
    WorkloadPlan::uniform(loads, setup)
}

/// Returns the lowest share of its floor that a rank got in any window of the flood. In a window
/// where the rank's demand is below its floor, the share is relative to the demand.
fn min_floor_share(record: &RunRecord, setup: &FleetSetup, rank: WorkRank) -> f64 {
    let floor = setup.rules.ranks.of(rank).floor.get() * f64::from(setup.slots());
    let windows = ((FLOOD_END_S - FLOOD_START_S) / FLOOR_WINDOW_S) as u32;
    let shares = (0..windows).map(|window| {
        let from = FLOOD_START_S + f64::from(window) * FLOOR_WINDOW_S;
        let occupied = record.mean_slots(rank, from, from + FLOOR_WINDOW_S);
        let demand = occupied + record.mean_waiting(rank, from, from + FLOOR_WINDOW_S);
        occupied / floor.min(demand).max(1e-9)
    });
    shares.fold(f64::INFINITY, f64::min)
}

/// Returns the ratio of the 99th percentile latency of quick requests in the flood to that before
/// it.
fn quick_slowdown(record: &RunRecord) -> f64 {
    let quiet = record.quantile(WorkRank::Quick, 0.99, WARM_UP_S, FLOOD_START_S);
    record.quantile(WorkRank::Quick, 0.99, FLOOD_START_S, FLOOD_END_S) / quiet.max(1e-9)
}

fn check_bounds(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    flood: WorkRank,
    record: &RunRecord,
) {
    let name = setup.name;
    for rank in WorkRank::ALL.into_iter().filter(|&rank| rank != flood) {
        let share = min_floor_share(record, setup, rank);
        report.at_least(&format!("{name}_{rank}_worst_floor"), share, 0.95);
    }
    if flood == WorkRank::Long {
        let slowdown = quick_slowdown(record);
        report.at_most(&format!("{name}_quick_p99_over_quiet"), slowdown, 1.2);
    }
    let mut refusals = 0_u32;
    let mut slowest: f64 = 0.0;
    let mut without_hint = 0_u32;
    for request in &record.requests {
        if let RequestOutcome::Refused { at, refusal } = request.outcome {
            refusals += 1;
            slowest = slowest.max(at.since(request.accepted).as_secs_f64());
            without_hint += u32::from(refusal.retry_after.is_zero());
        }
    }
    report.figure(&format!("{name}_refusals"), f64::from(refusals));
    report.at_most(
        &format!("{name}_slowest_refusal_s"),
        slowest,
        MAX_REFUSAL_TIME_S,
    );
    report.at_most(
        &format!("{name}_refusals_without_hint"),
        f64::from(without_hint),
        0.0,
    );
    let ran = record.requests.iter().filter(|request| {
        matches!(request.outcome, RequestOutcome::Refused { .. }) && request.started.is_some()
    });
    report.at_most(&format!("{name}_refused_and_ran"), ran.count() as f64, 0.0);
    for rank in WorkRank::ALL {
        let target = setup.rules.ranks.of(rank).target.0;
        let good = record.share_within(rank, target, FLOOD_START_S, FLOOD_END_S);
        report.figure(&format!("{name}_{rank}_good"), good);
    }
}

fn report_baseline(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    flood: WorkRank,
    record: &RunRecord,
) {
    let name = setup.name;
    for rank in WorkRank::ALL.into_iter().filter(|&rank| rank != flood) {
        let share = min_floor_share(record, setup, rank);
        report.figure(&format!("baseline_fifo_{name}_{rank}_worst_floor"), share);
    }
    report.figure(
        &format!("baseline_fifo_{name}_quick_p99_over_quiet"),
        quick_slowdown(record),
    );
}
