//! Prefix reuse of returning chats through churn and skew.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::bench::baseline_policy::{BaselinePolicy, BaselineStrategy};
use crate::bench::capacity::standing_bytes;
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
const LENGTH: f64 = 300.0;

/// Seconds at the start that are not judged.
const WARM_UP: f64 = 60.0;

/// Second at which the first engine goes.
const GONE_AT: f64 = 120.0;

/// Second at which it comes back, empty.
const BACK_AT: f64 = 180.0;

/// Second from which the second engine flaps.
const FLAP_AT: f64 = 220.0;

/// Length of each flap, in seconds.
const FLAP_SECONDS: f64 = 3.0;

/// Time by which routers differ in seeing a change, in seconds.
const SEEN_STEP: f64 = 0.8;

/// Part of the capacity that is asked for.
const LOAD: f64 = 0.6;

/// Control traffic that a router may have, in bytes a second.
const TRAFFIC_LIMIT: f64 = 5000.0;

/// Runs the scenario.
pub fn run(seed: u64) -> ScenarioReport {
    let mut report = ScenarioReport::new("reuse", seed);
    for setup in deployments() {
        let requests = plan(&setup).draw(seed);
        let changes = churn(&setup);
        let policy = HawthornPolicy::new(setup.routers, &setup.rules);
        let record = run_with(&setup, policy, &requests, &changes);
        let oracle = OraclePolicy::new(&setup.rules);
        let ideal = reuse_of(&run_with(&setup, oracle, &requests, &changes));
        judge(&mut report, &setup, &record, ideal);
        for (name, choice) in [
            ("random", BaselineStrategy::Random),
            ("round_robin", BaselineStrategy::RoundRobin),
            ("least_loaded", BaselineStrategy::LeastLoaded),
            ("hashing", BaselineStrategy::Hashing),
        ] {
            let policy = BaselinePolicy::new(setup.routers, choice, seed);
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
        per_second: setup.rate_for(rank, LOAD / 2.0),
        from: 0.0,
        to: LENGTH,
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

/// One engine goes and comes back, another flaps, and routers see each change at other times.
fn churn(setup: &FleetSetup) -> Vec<TimedChange> {
    let mut changes = Vec::new();
    change_engine(&mut changes, setup, 0, GONE_AT, BACK_AT);
    for flap in 0..4 {
        let from = FLAP_AT + f64::from(flap) * 4.0 * FLAP_SECONDS;
        change_engine(&mut changes, setup, 1, from, from + FLAP_SECONDS);
    }
    changes
}

fn change_engine(
    changes: &mut Vec<TimedChange>,
    setup: &FleetSetup,
    engine: usize,
    gone: f64,
    back: f64,
) {
    let at = |seconds: f64| MonoTime(Duration::from_secs_f64(seconds));
    let key = engine_key(engine);
    let without = pool_without(setup, key);
    let whole: Rc<[PoolEngine]> = setup.pool().into();
    let mut push = |seconds, change| {
        let at = at(seconds);
        changes.push(TimedChange { at, change });
    };
    push(gone, FleetChange::EngineDown(key));
    push(back, FleetChange::EngineUp(key));
    for index in 0..setup.routers {
        let router = RouterIndex(index);
        let lag = 0.1 + index as f64 * SEEN_STEP;
        let engines = Rc::clone(&without);
        push(gone + lag, FleetChange::NewList { router, engines });
        let engines = Rc::clone(&whole);
        push(back + lag, FleetChange::NewList { router, engines });
    }
}

fn pool_without(setup: &FleetSetup, gone: EngineKey) -> Rc<[PoolEngine]> {
    let mut pool = setup.pool();
    for engine in &mut pool {
        engine.open = engine.key != gone;
    }
    pool.into()
}

/// Share of the prompt tokens that were cached.
fn reuse_of(record: &RunRecord) -> f64 {
    let (mut cached, mut all) = (0_u64, 0_u64);
    for request in &record.requests {
        if request.accepted.0.as_secs_f64() >= WARM_UP && request.started.is_some() {
            cached += u64::from(request.cached);
            all += u64::from(request.prompt);
        }
    }
    cached as f64 / all.max(1) as f64
}

fn judge(report: &mut ScenarioReport, setup: &FleetSetup, record: &RunRecord, ideal: f64) {
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
        record.peak_bytes_per_second() + standing_bytes(setup.engines as f64, setup.routers as f64);
    report.at_most(&format!("{name}_bytes_per_s"), bytes, TRAFFIC_LIMIT);
}

/// Share of the warm chats whose home is another once the first engine has gone.
fn moved_share(setup: &FleetSetup, record: &RunRecord) -> f64 {
    let mut warm: HashMap<ChatKey, EngineKey> = HashMap::new();
    for request in &record.requests {
        let at = request.accepted.0.as_secs_f64();
        if let Some(engine) = request.engine.filter(|_| at < GONE_AT) {
            warm.insert(request.chat, engine);
        }
    }
    let before = placement_choices(&setup.pool());
    let after = placement_choices(&pool_without(setup, engine_key(0)));
    let moved = warm.keys().filter(|chat| {
        let home = |choices| rendezvous_order(chat.0, choices).first().copied();
        home(&before[..]) != home(&after[..])
    });
    moved.count() as f64 / warm.len().max(1) as f64
}
