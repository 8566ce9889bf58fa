//! The `ranks` scenario: latency by rank under steady loads of 90% and 130% of the capacity.

use crate::bench::baseline_policy::{BaselinePolicy, BaselineStrategy};
use crate::bench::fleet_policy::FleetPolicy;
use crate::bench::fleet_sim::FleetSim;
use crate::bench::hawthorn_policy::HawthornPolicy;
use crate::bench::report::ScenarioReport;
use crate::bench::run_record::{RequestOutcome, RunRecord};
use crate::bench::setup::{FleetSetup, deployments};
use crate::bench::workload::{RankLoad, WorkloadPlan};
use crate::rules::WorkRank;

/// End of the arrivals, in seconds.
const ARRIVALS_END_S: f64 = 120.0;

/// Time at the start that is not evaluated, in seconds.
const WARM_UP_S: f64 = 20.0;

/// Share of the total load by rank.
const RANK_SHARES: [f64; 3] = [0.3, 0.25, 0.45];

/// Runs the scenario on both deployments and compares it with the baseline policies.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("ranks", seed);
    for setup in deployments() {
        for percent in [90_u32, 130] {
            let requests = plan(&setup, f64::from(percent) / 100.0).draw(seed);
            let policy = HawthornPolicy::new(setup.routers, &setup.rules);
            let record = FleetSim::new(&setup, policy, requests.clone()).run();
            check_bounds(&mut report, &setup, percent, &record);
            for (name, strategy) in [
                ("fifo_round_robin", BaselineStrategy::RoundRobin),
                ("random", BaselineStrategy::Random),
                ("least_loaded", BaselineStrategy::LeastLoaded),
            ] {
                let policy = BaselinePolicy::new(setup.routers, strategy, seed);
                report_baseline(&mut report, &setup, percent, name, policy, &requests);
            }
        }
    }
    report
}

fn plan(setup: &FleetSetup, load: f64) -> WorkloadPlan {
    let loads = WorkRank::ALL.map(|rank| RankLoad {
        rank,
        per_second: setup.rate_for(rank, load * RANK_SHARES[rank.index()]),
        from: 0.0,
        to: ARRIVALS_END_S,
    });
    WorkloadPlan::uniform(loads.to_vec(), setup)
}

fn check_bounds(report: &mut ScenarioReport, setup: &FleetSetup, percent: u32, record: &RunRecord) {
    let prefix = format!("{}_{percent}", setup.name);
    let good = |rank: WorkRank| {
        let target = setup.rules.ranks.of(rank).target.0;
        record.share_within(rank, target, WARM_UP_S, ARRIVALS_END_S)
    };
    report.at_least(&format!("{prefix}_quick_good"), good(WorkRank::Quick), 0.99);
    let verdict = format!("{prefix}_verdict_good");
    if percent == 90 {
        report.at_least(&verdict, good(WorkRank::Verdict), 0.95);
    } else {
        report.figure(&verdict, good(WorkRank::Verdict));
    }
    let long: Vec<_> = record
        .of_rank(WorkRank::Long, 0.0, ARRIVALS_END_S)
        .collect();
    let done = long
        .iter()
        .filter(|request| matches!(request.outcome, RequestOutcome::Done(_)))
        .count();
    let share = done as f64 / long.len().max(1) as f64;
    report.at_least(&format!("{prefix}_long_finished"), share, 1.0);
    for rank in WorkRank::ALL {
        let p99 = record.quantile(rank, 0.99, WARM_UP_S, ARRIVALS_END_S);
        report.figure(&format!("{prefix}_{rank}_p99_s"), p99);
    }
    report.figure(
        &format!("{prefix}_bytes_per_s"),
        record.peak_bytes_per_second(),
    );
}

fn report_baseline(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    percent: u32,
    name: &str,
    policy: impl FleetPolicy,
    requests: &[crate::bench::workload::SimRequest],
) {
    let record = FleetSim::new(setup, policy, requests.to_vec()).run();
    for rank in [WorkRank::Quick, WorkRank::Verdict] {
        let target = setup.rules.ranks.of(rank).target.0;
        let good = record.share_within(rank, target, WARM_UP_S, ARRIVALS_END_S);
        report.figure(
            &format!("baseline_{name}_{}_{percent}_{rank}_good", setup.name),
            good,
        );
    }
}
