//! Measures how far an engine's load exceeds the mean when the engine receives a request.

use std::rc::Rc;
use std::time::Duration;

use crate::bench::baseline_policy::{BaselinePolicy, BaselineStrategy};
use crate::bench::fleet_policy::RouterIndex;
use crate::bench::fleet_sim::{FleetChange, FleetSim, TimedChange};
use crate::bench::hawthorn_policy::HawthornPolicy;
use crate::bench::report::ScenarioReport;
use crate::bench::run_record::RunRecord;
use crate::bench::setup::{FleetSetup, deployments};
use crate::bench::workload::{ChatMix, RankLoad, SimRequest, WorkloadPlan};
use crate::mono::MonoTime;
use crate::policy::request_scheduler::PoolEngine;
use crate::rules::WorkRank;

const RUN_SECONDS: f64 = 60.0;

/// Seconds at the start of a run whose admissions are not measured.
const WARM_UP_SECONDS: f64 = 10.0;

/// Offered loads, in per cent of the fleet's capacity.
const LOAD_PERCENTS: [u32; 3] = [10, 40, 85];

/// Results over the measured admissions of a run.
struct BoundFigures {
    /// Largest amount by which a load exceeds the allowed multiple of the mean, in requests.
    max_excess: f64,
    /// Highest ratio of a load to the mean.
    max_ratio: f64,
    /// Share of the admissions at the chat's first engine in rendezvous order.
    first_choice_share: f64,
}

/// Runs the scenario.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("load-bound", seed);
    for setup in deployments() {
        for percent in LOAD_PERCENTS {
            let requests = plan(&setup, f64::from(percent) / 100.0).draw(seed);
            let name = format!("{}_{percent}", setup.name);
            run_agreeing_routers(&mut report, &setup, &name, &requests, seed);
            run_disagreeing_router(&mut report, &setup, &name, requests);
        }
    }
    report
}

fn plan(setup: &FleetSetup, load: f64) -> WorkloadPlan {
    let loads = [WorkRank::Quick, WorkRank::Verdict, WorkRank::Long].map(|rank| RankLoad {
        rank,
        per_second: setup.rate_for(rank, load / 3.0),
        from: 0.0,
        to: RUN_SECONDS,
    });
    let mut plan = WorkloadPlan::uniform(loads.to_vec(), setup);
    plan.mix = ChatMix {
        chats: 2000,
        skew: 0.8,
        grows: false,
    };
    plan
}

fn run_agreeing_routers(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    name: &str,
    requests: &[SimRequest],
    seed: u64,
) {
    let policy = HawthornPolicy::new(setup.routers, &setup.rules);
    let record = FleetSim::new(setup, policy, requests.to_vec()).run();
    let figures = bound_figures(setup, &record);
    report.at_most(&format!("{name}_excess_requests"), figures.max_excess, 1.0);
    report.figure(&format!("{name}_highest_over_mean"), figures.max_ratio);
    report.figure(&format!("{name}_at_home"), figures.first_choice_share);
    report.figure(
        &format!("{name}_bytes_per_s"),
        record.peak_bytes_per_second(),
    );
    let policy = BaselinePolicy::new(setup.routers, BaselineStrategy::Hashing, seed);
    let record = FleetSim::new(setup, policy, requests.to_vec()).run();
    let figures = bound_figures(setup, &record);
    report.figure(
        &format!("baseline_hashing_{name}_excess_requests"),
        figures.max_excess,
    );
    report.figure(
        &format!("baseline_hashing_{name}_highest_over_mean"),
        figures.max_ratio,
    );
}

/// Runs the product while one router regards one engine as closed throughout.
///
/// A router that misses a share `m` of the pool overestimates the fair share of the other engines
/// by `m / (1 - m)`, so the allowed excess rises by that part of the highest permitted load.
fn run_disagreeing_router(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    name: &str,
    requests: Vec<SimRequest>,
) {
    let mut pool = setup.pool();
    pool[0].open = false;
    let without_first: Rc<[PoolEngine]> = pool.into();
    let change = TimedChange {
        at: MonoTime(Duration::ZERO),
        change: FleetChange::NewList {
            router: RouterIndex(0),
            engines: without_first,
        },
    };
    let policy = HawthornPolicy::new(setup.routers, &setup.rules);
    let sim = FleetSim::new(setup, policy, requests).with_changes(vec![change]);
    let record = sim.run();
    let missing = 1.0 / setup.engines as f64;
    let multiple = setup.rules.load_multiple.get();
    let highest = measured_admissions(&record)
        .map(|a| a.mean)
        .fold(0.0, f64::max);
    let allowance = 1.0 + multiple * highest * missing / (1.0 - missing);
    let excess = bound_figures(setup, &record).max_excess;
    report.at_most(
        &format!("{name}_disagreeing_excess_requests"),
        excess,
        allowance,
    );
}

fn measured_admissions(
    record: &RunRecord,
) -> impl Iterator<Item = &crate::bench::run_record::AdmissionLoad> {
    let start = MonoTime(Duration::from_secs_f64(WARM_UP_SECONDS));
    let end = MonoTime(Duration::from_secs_f64(RUN_SECONDS));
    record
        .admissions
        .iter()
        .filter(move |a| a.at >= start && a.at < end)
}

fn bound_figures(setup: &FleetSetup, record: &RunRecord) -> BoundFigures {
    let multiple = setup.rules.load_multiple.get();
    let mut figures = BoundFigures {
        max_excess: 0.0,
        max_ratio: 0.0,
        first_choice_share: 0.0,
    };
    let mut count = 0_u32;
    for admission in measured_admissions(record) {
        let load = f64::from(admission.load);
        figures.max_excess = figures.max_excess.max(load - multiple * admission.mean);
        figures.max_ratio = figures.max_ratio.max(load / admission.mean);
        figures.first_choice_share += f64::from(u8::from(admission.on_first_choice));
        count += 1;
    }
    figures.first_choice_share /= f64::from(count.max(1));
    figures
}
