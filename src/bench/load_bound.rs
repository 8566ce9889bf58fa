//! The highest load of an engine over the mean when it takes a request.

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

/// Length of a run, in seconds.
const LENGTH: f64 = 60.0;

/// Seconds at the start that are not judged.
const WARM_UP: f64 = 10.0;

/// Parts of the capacity that are asked for, from small loads to large.
const LOAD_PERCENTS: [u32; 3] = [10, 40, 85];

/// What a run's admissions show.
struct BoundFigures {
    /// Highest load over the multiple of the mean, in requests.
    excess: f64,
    /// Highest load over the mean.
    ratio: f64,
    /// Share of the admissions at the chat's first choice.
    on_first_choice: f64,
}

/// Runs the scenario.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("load-bound", seed);
    for setup in deployments() {
        for percent in LOAD_PERCENTS {
            let requests = plan(&setup, f64::from(percent) / 100.0).draw(seed);
            let name = format!("{}_{percent}", setup.name);
            agree(&mut report, &setup, &name, &requests, seed);
            disagree(&mut report, &setup, &name, requests);
        }
    }
    report
}

fn plan(setup: &FleetSetup, load: f64) -> WorkloadPlan {
    let loads = [WorkRank::Quick, WorkRank::Verdict, WorkRank::Long].map(|rank| RankLoad {
        rank,
        per_second: setup.rate_for(rank, load / 3.0),
        from: 0.0,
        to: LENGTH,
    });
    let mut plan = WorkloadPlan::uniform(loads.to_vec(), setup);
    plan.mix = ChatMix {
        chats: 2000,
        skew: 0.8,
        grows: false,
    };
    plan
}

fn agree(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    name: &str,
    requests: &[SimRequest],
    seed: u64,
) {
    let policy = HawthornPolicy::new(setup.routers, &setup.rules);
    let record = FleetSim::new(setup, policy, requests.to_vec()).run();
    let figures = bound_figures(setup, &record);
    report.at_most(&format!("{name}_excess_requests"), figures.excess, 1.0);
    report.figure(&format!("{name}_highest_over_mean"), figures.ratio);
    report.figure(&format!("{name}_at_home"), figures.on_first_choice);
    report.figure(
        &format!("{name}_bytes_per_s"),
        record.peak_bytes_per_second(),
    );
    let policy = BaselinePolicy::new(setup.routers, BaselineStrategy::Hashing, seed);
    let record = FleetSim::new(setup, policy, requests.to_vec()).run();
    let figures = bound_figures(setup, &record);
    report.figure(
        &format!("baseline_hashing_{name}_excess_requests"),
        figures.excess,
    );
    report.figure(
        &format!("baseline_hashing_{name}_highest_over_mean"),
        figures.ratio,
    );
}

/// One router holds one engine for closed for the whole run. The excess is bounded by the share
/// that differs: what the others may hold beyond their part when they miss a share of the list.
fn disagree(
    report: &mut ScenarioReport,
    setup: &FleetSetup,
    name: &str,
    requests: Vec<SimRequest>,
) {
    let mut pool = setup.pool();
    pool[0].open = false;
    let short: Rc<[PoolEngine]> = pool.into();
    let change = TimedChange {
        at: MonoTime(Duration::ZERO),
        change: FleetChange::NewList {
            router: RouterIndex(0),
            engines: short,
        },
    };
    let policy = HawthornPolicy::new(setup.routers, &setup.rules);
    let sim = FleetSim::new(setup, policy, requests).with_changes(vec![change]);
    let record = sim.run();
    let missing = 1.0 / setup.engines as f64;
    let multiple = setup.rules.load_multiple.get();
    let highest = judged(&record).map(|a| a.mean).fold(0.0, f64::max);
    let allowance = 1.0 + multiple * highest * missing / (1.0 - missing);
    let excess = bound_figures(setup, &record).excess;
    report.at_most(
        &format!("{name}_disagreeing_excess_requests"),
        excess,
        allowance,
    );
}

fn judged(record: &RunRecord) -> impl Iterator<Item = &crate::bench::run_record::AdmissionLoad> {
    let start = MonoTime(Duration::from_secs_f64(WARM_UP));
    let end = MonoTime(Duration::from_secs_f64(LENGTH));
    record
        .admissions
        .iter()
        .filter(move |a| a.at >= start && a.at < end)
}

fn bound_figures(setup: &FleetSetup, record: &RunRecord) -> BoundFigures {
    let multiple = setup.rules.load_multiple.get();
    let mut figures = BoundFigures {
        excess: 0.0,
        ratio: 0.0,
        on_first_choice: 0.0,
    };
    let mut count = 0_u32;
    for admission in judged(record) {
        let load = f64::from(admission.load);
        figures.excess = figures.excess.max(load - multiple * admission.mean);
        figures.ratio = figures.ratio.max(load / admission.mean);
        figures.on_first_choice += f64::from(u8::from(admission.on_first_choice));
        count += 1;
    }
    figures.on_first_choice /= f64::from(count.max(1));
    figures
}
