//! A process that was paused longer than every lease and wakes acts on no old belief.

mod fleet;

use fleet::caller::ChatAsk;
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::join_all;
use hawthornrouter::units::TimeSpan;
use serde_json::json;

async fn wait_gone(fleet: &TestFleet, seen_by: usize) {
    fleet
        .wait_status(seen_by, "the paused router counts as gone", |status| {
            status.upstreams.iter().all(|engine| engine.steward)
        })
        .await;
}

#[ntex::test]
async fn paused_router() {
    let mut fleet = TestFleet::start(FleetPlan::new("paused_router")).await;
    fleet.routers[0].process().freeze();
    // While it is paused, an engine leaves the register.
    let revision = fleet
        .publish_next(|bundle| {
            bundle.register.engines.remove(0);
        })
        .await;
    fleet
        .wait_status(1, "revision 2", |status| status.revision.0 == revision)
        .await;
    wait_gone(&fleet, 1).await;
    let caller = fleet.caller();
    let asks: Vec<ChatAsk> = (0..12)
        .map(|n| ChatAsk::new(&format!("chat-{n}"), 3))
        .collect();
    let entry = fleet.entry(0);
    let running: Vec<_> = asks
        .into_iter()
        .map(|ask| {
            let caller = caller.clone();
            ntex::rt::spawn(async move { caller.chat(entry, &ask).await })
        })
        .collect();
    fleet.routers[0].process().wake();
    for answer in join_all(running).await {
        let answer = answer.expect("caller");
        assert!(answer.is_whole(3), "{answer:?}");
    }
    assert!(
        fleet.engine_record(0).await.is_empty(),
        "work went to an engine that had left"
    );
    let status = fleet.status(0).await.expect("status");
    assert!(status.pauses >= 1);
}

#[ntex::test]
async fn paused_engine() {
    let plan = FleetPlan::new("paused_engine").engines(1).rules(|rules| {
        rules.ranks.quick.next_event = TimeSpan::from_millis(300);
        rules.ranks.quick.first_event = TimeSpan::from_millis(500);
    });
    let fleet = TestFleet::start(plan).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let ask = ChatAsk::new("chat-1", 6).fault(json!({"hold_at": 3}));
    let running = ntex::rt::spawn(async move { caller.chat(entry, &ask).await });
    fleet.wait_runs(0).await;
    fleet.engines[0]
        .process
        .as_ref()
        .expect("engine runs")
        .freeze();
    let answer = running.await.expect("caller");
    assert!(answer.has_error(), "{answer:?}");
    fleet.engines[0]
        .process
        .as_ref()
        .expect("engine runs")
        .wake();
    let answer = wait_for("engine serves again", async || {
        let answer = fleet
            .caller()
            .chat(fleet.entry(0), &ChatAsk::new("chat-2", 3))
            .await;
        answer.is_whole(3).then_some(answer)
    })
    .await;
    assert!(answer.is_whole(3));
}

#[ntex::test]
async fn paused_locator() {
    let mut fleet = TestFleet::start(FleetPlan::new("paused_locator")).await;
    let index = fleet.wait_named("chat-1").await;
    let before = fleet.entry(index);
    fleet
        .locator
        .process
        .as_ref()
        .expect("locator runs")
        .freeze();
    fleet.routers[index]
        .process
        .take()
        .expect("router runs")
        .kill();
    wait_gone(&fleet, 1 - index).await;
    fleet.locator.process.as_ref().expect("locator runs").wake();
    let first = wait_for("locator answers", async || fleet.locate("chat-1").await).await;
    assert_ne!(first.address, before, "named a router that is gone");
}

#[ntex::test]
async fn paused_config_service() {
    let mut fleet = TestFleet::start(FleetPlan::new("paused_config_service")).await;
    fleet
        .config
        .process
        .as_ref()
        .expect("service runs")
        .freeze();
    let answer = fleet
        .caller()
        .chat(fleet.entry(0), &ChatAsk::new("chat-1", 3))
        .await;
    assert!(answer.is_whole(3), "{answer:?}");
    fleet.config.process.as_ref().expect("service runs").wake();
    let revision = fleet.publish_next(|_| {}).await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 2", |status| status.revision.0 == revision)
            .await;
    }
}
