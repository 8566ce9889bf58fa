//! Prefix reuse of returning chats under engine churn and skewed popularity of chats and accounts.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::bench::baseline_policy::{BaselinePolicy, BaselineStrategy};
use crate::bench::capacity::non_peer_bytes;
use crate::bench::fleet_policy::{FleetPolicy, RouterIndex};
use crate::bench::fleet_sim::{FleetChange, FleetSim, TimedChange, placement_choices};
use crate::bench::hawthorn_policy::HawthornPolicy;
use crate::bench::oracle_policy::OraclePolicy;
use crate::bench::report::ScenarioReport;
use crate::bench::run_record::RunRecord;
use crate::bench::setup::{FleetSetup, deployments, engine_key};
use crate::bench::workload::{AccountLoad, ChatMix, RankLoad, SimRequest, WorkloadPlan};
use crate::ids::{AccountKey, ChatKey, EngineKey};
use crate::mono::MonoTime;
use crate::policy::placement::rendezvous_order;
use crate::policy::request_scheduler::PoolEngine;
use crate::rules::WorkRank;

/// Length of a run, in seconds.
const LENGTH_S: f64 = 300.0;

/// Warm-up at the start whose requests don't count for the reuse, in seconds.
const WARM_UP_S: f64 = 60.0;

/// Time at which the first engine fails, in seconds.
const REMOVED_AT_S: f64 = 120.0;

/// Time at which the first engine returns with an empty cache, in seconds.
const RESTORED_AT_S: f64 = 180.0;

/// Time from which the second engine fails and returns repeatedly, in seconds.
const FIRST_FLAP_AT_S: f64 = 220.0;

/// Time for which the second engine is down in each flap, in seconds.
const FLAP_S: f64 = 3.0;

/// Additional delay with which each further router sees a change, in seconds.
const VIEW_LAG_STEP_S: f64 = 0.8;

/// Offered load as a share of the capacity.
const OFFERED_LOAD: f64 = 0.6;

/// Limit of the control traffic of a router, in bytes a second.
const MAX_TRAFFIC_BYTES_PER_S: f64 = 5000.0;

/// Runs the scenario with a seed.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("reuse", seed);
    for setup in deployments() {
        let requests = plan(&setup).draw(seed);
        let changes = churn(&setup);
        let policy = HawthornPolicy::new(setup.routers, &setup.rules);
        let record = run_with(&setup, policy, &requests, &changes);
        let oracle = OraclePolicy::new(&setup.rules);
        let ideal = reuse_of(&run_with(&setup, oracle, &requests, &changes));
        add_figures(&mut report, &setup, &record, ideal);
        for (name, strategy) in [
            ("random", BaselineStrategy::Random),
            ("round_robin", BaselineStrategy::RoundRobin),
            ("least_loaded", BaselineStrategy::LeastLoaded),
            ("hashing", BaselineStrategy::Hashing),
        ] {
            let policy = BaselinePolicy::new(setup.routers, strategy, seed);
            let reuse = reuse_of(&run_with(&setup, policy, &requests, &changes));
            report.figure(&format!("baseline_{name}_{}_reuse", setup.name), reuse);
        }
    }
    report
}

fn run_with(
    setup: &FleetSetup,
    policy: impl FleetPolicy,
    requests: &[SimRequest],
    changes: &[TimedChange],
) -> RunRecord {
    FleetSim::new(setup, policy, requests.to_vec())
        .with_changes(changes.to_vec())
        .run()
}

fn plan(setup: &FleetSetup) -> WorkloadPlan {
    let loads = [WorkRank::Quick, WorkRank::Verdict].map(|rank| RankLoad {
        rank,
        per_second: setup.rate_for(rank, OFFERED_LOAD / 2.0),
        from: 0.0,
        to: LENGTH_S,
    });
    let weight = |number: u64| if number < 3 { 5.0 } else { 1.0 };
    let accounts = (0..10).map(|number| AccountLoad {
        account: AccountKey(number),
        weight: weight(number),
    });
    WorkloadPlan {
        loads: loads.to_vec(),
        mix: ChatMix {
            chats: setup.engines * 300,
            skew: 0.9,
            grows: true,
        },
        accounts: accounts.collect(),
        routers: setup.routers,
        engines: setup.pool().iter().map(|engine| engine.key).collect(),
    }
}

/// Returns the changes of a run: one engine fails and returns, another flaps, and each router sees
/// every change after a delay of its own.
fn churn(setup: &FleetSetup) -> Vec<TimedChange> {
    let mut changes = Vec::new();
    remove_and_restore(&mut changes, setup, 0, REMOVED_AT_S, RESTORED_AT_S);
    for flap in 0..4 {
        let from = FIRST_FLAP_AT_S + f64::from(flap) * 4.0 * FLAP_S;
        remove_and_restore(&mut changes, setup, 1, from, from + FLAP_S);
    }
    changes
}

fn remove_and_restore(
    changes: &mut Vec<TimedChange>,
    setup: &FleetSetup,
    engine: usize,
    removed_at: f64,
    restored_at: f64,
) {
    let at = |seconds: f64| MonoTime(Duration::from_secs_f64(seconds));
    let key = engine_key(engine);
    let reduced_pool = pool_without(setup, key);
    let full_pool: Rc<[PoolEngine]> = setup.pool().into();
    let mut push = |seconds, change| {
        let at = at(seconds);
        changes.push(TimedChange { at, change });
    };
    push(removed_at, FleetChange::EngineDown(key));
    push(restored_at, FleetChange::EngineUp(key));
    for index in 0..setup.routers {
        let router = RouterIndex(index);
        let lag = 0.1 + index as f64 * VIEW_LAG_STEP_S;
        let engines = Rc::clone(&reduced_pool);
        push(removed_at + lag, FleetChange::NewList { router, engines });
        let engines = Rc::clone(&full_pool);
        push(restored_at + lag, FleetChange::NewList { router, engines });
    }
}

fn pool_without(setup: &FleetSetup, removed: EngineKey) -> Rc<[PoolEngine]> {
    let mut pool = setup.pool();
    for engine in &mut pool {
        engine.open = engine.key != removed;
    }
    pool.into()
}

/// Returns the share of the prompt tokens that were cached, over the requests that started.
fn reuse_of(record: &RunRecord) -> f64 {
    let (mut cached, mut all) = (0_u64, 0_u64);
    for request in &record.requests {
        if request.accepted.0.as_secs_f64() >= WARM_UP_S && request.started.is_some() {
            cached += u64::from(request.cached);
            all += u64::from(request.prompt);
        }
    }
    cached as f64 / all.max(1) as f64
}

fn add_figures(report: &mut ScenarioReport, setup: &FleetSetup, record: &RunRecord, ideal: f64) {
    let name = setup.name;
    let reuse = reuse_of(record);
    report.figure(&format!("{name}_reuse"), reuse);
    report.figure(&format!("ideal_{name}_reuse"), ideal);
    report.at_least(
        &format!("{name}_reuse_of_ideal"),
        reuse / ideal.max(1e-9),
        0.9,
    );
    let moved = moved_share(setup, record);
    report.at_most(
        &format!("{name}_moved_chats"),
        moved,
        1.5 / setup.engines as f64,
    );
    let bytes =
        record.peak_bytes_per_second() + non_peer_bytes(setup.engines as f64, setup.routers as f64);
    report.at_most(
        &format!("{name}_bytes_per_s"),
        bytes,
        MAX_TRAFFIC_BYTES_PER_S,
    );
}

/// Returns the share of the chats served before the first engine fails whose preferred engine
/// differs without it.
fn moved_share(setup: &FleetSetup, record: &RunRecord) -> f64 {
    let mut served_by: HashMap<ChatKey, EngineKey> = HashMap::new();
    for request in &record.requests {
        let at = request.accepted.0.as_secs_f64();
        if let Some(engine) = request.engine.filter(|_| at < REMOVED_AT_S) {
            served_by.insert(request.chat, engine);
        }
    }
    let before = placement_choices(&setup.pool());
    let after = placement_choices(&pool_without(setup, engine_key(0)));
    let moved = served_by.keys().filter(|chat| {
        let preferred = |choices| rendezvous_order(chat.0, choices).first().copied();
        preferred(&before[..]) != preferred(&after[..])
    });
    moved.count() as f64 / served_by.len().max(1) as f64
}
