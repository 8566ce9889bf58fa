//! Guards against requests that are cut off by SIGTERM, and against routers and locators that don't
//! exit successfully after it.

mod fleet;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::join_all;
use hawthornrouter::board::LifeStage;
use serde_json::json;

/// Guards against requests that are cut off or refused too early when a router is stopped: requests
/// in progress must complete, a caller with an outdated locator response must still be served while
/// the router drains, and the ticket ledger must reach the peer.
#[ntex::test]
async fn router_drains() {
    let mut fleet = TestFleet::start(FleetPlan::new("router_drains")).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let running: Vec<_> = (0..6)
        .map(|number| {
            let caller = caller.clone();
            let request =
                ChatRequest::new(&format!("chat-{number}"), 40).fault(json!({"hold_at": 2}));
            ntex::rt::spawn(async move { caller.chat(entry, &request).await })
        })
        .collect();
    fleet
        .wait_status(0, "requests run", |status| status.running == 6)
        .await;
    fleet.routers[0].process().terminate();
    fleet
        .wait_status(0, "router drains", |status| {
            status.stage != LifeStage::Serving
        })
        .await;
    // A caller that uses an outdated response of the locator is still served.
    let late = caller.chat(entry, &ChatRequest::new("late", 3)).await;
    let closing = fleet.status(0).await.expect("status").stage != LifeStage::Draining;
    assert!(
        late.is_complete(3) || (closing && late.is_not_run()),
        "{late:?}"
    );
    fleet
        .wait_status(0, "router closes", |status| {
            status.stage == LifeStage::Closing
        })
        .await;
    for engine in &fleet.engines {
        fleet.control(engine.address, "release", &()).await;
    }
    for response in join_all(running).await {
        let response = response.expect("caller");
        assert!(response.is_complete(40), "{response:?}");
    }
    let process = fleet.routers[0].process.take().expect("router runs");
    assert!(wait_for("router stops", async || process.exit_success()).await);
    let status = fleet.status(1).await.expect("status");
    assert_eq!(status.handed_ledgers, 1);
}

/// Guards against a locator that still names a draining router to callers.
#[ntex::test]
async fn locator_leaves_drained() {
    let fleet = TestFleet::start(FleetPlan::new("locator_leaves_drained")).await;
    let index = fleet.wait_located("chat-1").await;
    let before = fleet.entry(index);
    fleet.routers[index].process().terminate();
    let moved = async || {
        fleet
            .locate("chat-1")
            .await
            .filter(|response| response.address != before)
    };
    let after = wait_for("locator names the other router", moved).await;
    assert!(after.others.is_empty());
}

#[ntex::test]
async fn locator_stops() {
    let mut fleet = TestFleet::start(FleetPlan::new("locator_stops")).await;
    let process = fleet.locator.process.take().expect("locator runs");
    process.terminate();
    assert!(wait_for("locator stops", async || process.exit_success()).await);
}
