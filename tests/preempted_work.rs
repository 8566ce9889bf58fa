//! Long requests that are preempted by a quick request must resume from the event at which they
//! stopped, and their responses must arrive complete.

mod fleet;

use fleet::caller::{ChatRequest, ChatResponse, TestCaller};
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::join_all;
use ntex::rt::JoinHandle;
use serde_json::json;

/// Starts a call whose response stops at event 2 until the engine is released.
fn spawn_held_call(fleet: &TestFleet, chat: &str, rank: &str) -> JoinHandle<ChatResponse> {
    let caller: TestCaller = fleet.caller();
    let entry = fleet.entry(0);
    let request = ChatRequest::new(chat, 6)
        .rank(rank)
        .fault(json!({"hold_at": 2}));
    ntex::rt::spawn(async move { caller.chat(entry, &request).await })
}

#[ntex::test]
async fn preempted_work_resumes() {
    let plan = FleetPlan::new("preempted_work_resumes")
        .routers(1)
        .engines(1)
        .slots(4);
    let fleet = TestFleet::start(plan).await;
    let long: Vec<_> = (0..3)
        .map(|n| spawn_held_call(&fleet, &format!("long-{n}"), "long"))
        .collect();
    fleet
        .wait_status(0, "long requests run", |status| status.running == 3)
        .await;
    let quick = spawn_held_call(&fleet, "quick-held", "quick");
    fleet
        .wait_status(0, "headroom is taken", |status| status.running == 4)
        .await;
    // All slots are occupied, so the next quick request preempts a long one.
    let response = fleet
        .caller()
        .chat(fleet.entry(0), &ChatRequest::new("quick-now", 3))
        .await;
    assert!(response.is_complete(3), "{response:?}");
    let resumed = wait_for("a long request resumes", async || {
        let runs = fleet.engine_record(0).await;
        runs.into_iter().find(|run| run.resume_from > 0)
    })
    .await;
    assert_eq!(resumed.resume_from, 2);
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    for response in join_all(long).await {
        let response = response.expect("caller");
        assert!(response.is_complete(6), "{response:?}");
    }
    assert!(quick.await.expect("caller").is_complete(6));
}
