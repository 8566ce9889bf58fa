//! A process that resumes after a pause longer than every lease must not act on the state that it
//! cached before the pause. While an engine or the configuration service is paused, callers must
//! still receive a response.

mod fleet;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::join_all;
use hawthornrouter::units::TimeSpan;
use serde_json::json;

async fn wait_sole_slot_owner(fleet: &TestFleet, remaining: usize) {
    fleet
        .wait_status(remaining, "the remaining router owns all slots", |status| {
            status.upstreams.iter().all(|engine| engine.steward)
        })
        .await;
}

#[ntex::test]
async fn paused_router() {
    let mut fleet = TestFleet::start(FleetPlan::new("paused_router")).await;
    fleet.routers[0].process().pause();
    // The paused router misses that an engine is removed from the register.
    let revision = fleet
        .publish_next(|bundle| {
            bundle.register.engines.remove(0);
        })
        .await;
    fleet
        .wait_status(1, "revision 2", |status| status.revision.0 == revision)
        .await;
    wait_sole_slot_owner(&fleet, 1).await;
    let caller = fleet.caller();
    let requests: Vec<ChatRequest> = (0..12)
        .map(|n| ChatRequest::new(&format!("chat-{n}"), 3))
        .collect();
    let entry = fleet.entry(0);
    let running: Vec<_> = requests
        .into_iter()
        .map(|request| {
            let caller = caller.clone();
            ntex::rt::spawn(async move { caller.chat(entry, &request).await })
        })
        .collect();
    fleet.routers[0].process().resume();
    for response in join_all(running).await {
        let response = response.expect("caller");
        assert!(response.is_complete(3), "{response:?}");
    }
    assert!(
        fleet.engine_record(0).await.is_empty(),
        "a request ran on an engine that was removed from the register"
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
    let request = ChatRequest::new("chat-1", 6).fault(json!({"hold_at": 3}));
    let running = ntex::rt::spawn(async move { caller.chat(entry, &request).await });
    fleet.wait_runs(0).await;
    fleet.engines[0]
        .process
        .as_ref()
        .expect("engine runs")
        .pause();
    let response = running.await.expect("caller");
    assert!(response.has_error(), "{response:?}");
    fleet.engines[0]
        .process
        .as_ref()
        .expect("engine runs")
        .resume();
    let response = wait_for("resumed engine serves", async || {
        let response = fleet
            .caller()
            .chat(fleet.entry(0), &ChatRequest::new("chat-2", 3))
            .await;
        response.is_complete(3).then_some(response)
    })
    .await;
    assert!(response.is_complete(3));
}

#[ntex::test]
async fn paused_locator() {
    let mut fleet = TestFleet::start(FleetPlan::new("paused_locator")).await;
    let index = fleet.wait_located("chat-1").await;
    let before = fleet.entry(index);
    fleet
        .locator
        .process
        .as_ref()
        .expect("locator runs")
        .pause();
    fleet.routers[index]
        .process
        .take()
        .expect("router runs")
        .kill();
    wait_sole_slot_owner(&fleet, 1 - index).await;
    fleet
        .locator
        .process
        .as_ref()
        .expect("locator runs")
        .resume();
    let first = wait_for("locator responds", async || fleet.locate("chat-1").await).await;
    assert_ne!(
        first.address, before,
        "located a router that no longer runs"
    );
}

#[ntex::test]
async fn paused_config_service() {
    let mut fleet = TestFleet::start(FleetPlan::new("paused_config_service")).await;
    fleet.config.process.as_ref().expect("service runs").pause();
    let response = fleet
        .caller()
        .chat(fleet.entry(0), &ChatRequest::new("chat-1", 3))
        .await;
    assert!(response.is_complete(3), "{response:?}");
    fleet
        .config
        .process
        .as_ref()
        .expect("service runs")
        .resume();
    let revision = fleet.publish_next(|_| {}).await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 2", |status| status.revision.0 == revision)
            .await;
    }
}
