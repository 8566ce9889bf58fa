//! Long requests that are preempted by a quick request must resume from the event at which they
//! stopped, and their responses must arrive complete.

mod fleet;

use fleet::caller::{ChatRequest, ChatResponse, TestCaller};
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::join_all;
use hawthornrouter::units::ShareRatio;
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

/// Counts the runs of the request with this note on an engine.
async fn count_runs(fleet: &TestFleet, engine: usize, note: &str) -> usize {
    let runs = fleet.engine_record(engine).await;
    runs.iter().filter(|run| run.body.contains(note)).count()
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

/// Guards against a preemption that was signalled during a failed attempt and ends the next one.
#[ntex::test]
async fn preemption_of_failed_attempt() {
    let plan = FleetPlan::new("preemption_of_failed_attempt")
        .routers(1)
        .engines(2)
        .slots(4)
        .rules(|rules| rules.retry_budget = ShareRatio::from_percent(100));
    let mut fleet = TestFleet::start(plan).await;
    let mut pending = Vec::new();
    for index in 0..6 {
        let (caller, entry) = (fleet.caller(), fleet.entry(0));
        let request = ChatRequest::new(&format!("long-{index}"), 3)
            .rank("long")
            .note(&format!("long-{index}"))
            .fault(json!({"hold_head": true}));
        pending.push(ntex::rt::spawn(async move {
            caller.chat(entry, &request).await
        }));
        fleet
            .wait_status(0, "long request runs", |status| status.running == index + 1)
            .await;
    }
    let quick: Vec<_> = (0..2)
        .map(|index| spawn_held_call(&fleet, &format!("quick-{index}"), "quick"))
        .collect();
    fleet
        .wait_status(0, "all slots are taken", |status| status.running == 8)
        .await;
    // The next quick request preempts the long one that started last, whose engine has not sent a
    // response head yet.
    let waiting = spawn_held_call(&fleet, "quick-waiting", "quick");
    fleet
        .wait_status(0, "quick request waits", |status| status.waiting[0] == 1)
        .await;
    let (failing, other) = if count_runs(&fleet, 0, "long-5").await > 0 {
        (0, 1)
    } else {
        (1, 0)
    };
    fleet
        .control(fleet.engines[other].address, "release", &())
        .await;
    assert!(waiting.await.expect("caller").is_complete(6));
    let process = fleet.engines[failing].process.take();
    process.expect("engine runs").kill();
    for response in join_all(pending).await {
        let response = response.expect("caller");
        assert!(response.is_complete(3), "{response:?}");
    }
    for response in join_all(quick).await {
        let response = response.expect("caller");
        assert!(response.text.starts_with("id: "), "{response:?}");
    }
    assert_eq!(count_runs(&fleet, other, "long-5").await, 1);
}
