//! An engine that is silent for longer than the rules `first_event` and `next_event` and then goes
//! on must not be given up while the retry budget refuses a repeat.

mod fleet;

use std::time::{Duration, Instant};

use fleet::caller::{ChatRequest, ChatResponse};
use fleet::{FleetPlan, TestFleet, wait_for};
use hawthornrouter::units::{ShareRatio, TimeSpan};
use ntex::rt::JoinHandle;
use serde_json::{Value, json};

/// The limits of silence in these tests.
const LIMIT: TimeSpan = TimeSpan::from_millis(300);

/// A silence that exceeds the limit several times.
const SILENCE: Duration = Duration::from_millis(1200);

/// A plan with a single retry, which requests do not add to.
fn plan(name: &str) -> FleetPlan {
    FleetPlan::new(name).routers(1).engines(1).rules(|rules| {
        rules.retry_budget = ShareRatio::from_percent(0);
        for rank in [&mut rules.ranks.quick, &mut rules.ranks.long] {
            rank.first_event = LIMIT;
            rank.next_event = LIMIT;
        }
    })
}

fn spawn_chat(fleet: &TestFleet, request: ChatRequest) -> JoinHandle<ChatResponse> {
    let (caller, entry) = (fleet.caller(), fleet.entry(0));
    ntex::rt::spawn(async move { caller.chat(entry, &request).await })
}

async fn spend_retry(fleet: &TestFleet) {
    let request = ChatRequest::new("spender", 3).fault(json!({"cut_at": 1}));
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.is_complete(3), "{response:?}");
}

async fn wait_run_count(fleet: &TestFleet, count: usize) {
    wait_for("engines run the requests", async || {
        (fleet.engine_records().await.len() >= count).then_some(())
    })
    .await;
}

/// Checks that a chat is complete whose engine pauses where `fault` holds it, and then goes on.
async fn check_pause(name: &str, fault: Value) {
    let fleet = TestFleet::start(plan(name)).await;
    spend_retry(&fleet).await;
    let running = spawn_chat(&fleet, ChatRequest::new("chat-1", 6).fault(fault));
    wait_run_count(&fleet, 3).await;
    let engine = fleet.engines[0].process.as_ref().expect("engine runs");
    engine.pause();
    tokio::time::sleep(SILENCE).await;
    engine.resume();
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    let response = running.await.expect("caller");
    assert!(response.is_complete(6), "{response:?}");
    assert_eq!(fleet.engine_record(0).await.len(), 3);
}

#[ntex::test]
async fn pause_between_events() {
    check_pause("pause_between_events", json!({"hold_at": 3})).await;
}

#[ntex::test]
async fn pause_before_first_event() {
    check_pause("pause_before_first_event", json!({"hold_at": 0})).await;
}

#[ntex::test]
async fn pause_before_response_head() {
    check_pause("pause_before_response_head", json!({"hold_head": true})).await;
}

/// Guards against a silent engine that is given up with one retry and replaced with another.
#[ntex::test]
async fn one_retry_per_repeat() {
    let fleet = TestFleet::start(plan("one_retry_per_repeat")).await;
    let request = ChatRequest::new("chat-1", 6).fault(json!({"stall_at": 3}));
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.is_complete(6), "{response:?}");
    assert_eq!(fleet.engine_record(0).await.len(), 2);
}

#[ntex::test]
async fn one_retry_per_engine() {
    let fleet = TestFleet::start(plan("one_retry_per_engine").engines(2)).await;
    let request = ChatRequest::new("chat-1", 6).fault(json!({"hold_head": true}));
    let running = spawn_chat(&fleet, request);
    wait_run_count(&fleet, 1).await;
    let first = usize::from(fleet.engine_record(0).await.is_empty());
    let second = fleet.engines[1 - first].address;
    fleet.control(second, "release", &()).await;
    let response = running.await.expect("caller");
    assert!(response.is_complete(6), "{response:?}");
    assert_eq!(fleet.engine_records().await.len(), 2);
}

#[ntex::test]
async fn silent_until_deadline() {
    let plan = plan("silent_until_deadline")
        .rules(|rules| rules.ranks.quick.deadline = TimeSpan::from_millis(3000));
    let fleet = TestFleet::start(plan).await;
    spend_retry(&fleet).await;
    let held = [json!({"stall_at": 3}), json!({"stall_at": 0})];
    for (index, fault) in held.into_iter().enumerate() {
        let request = ChatRequest::new("chat-1", 6).fault(fault);
        let response = fleet.caller().chat(fleet.entry(0), &request).await;
        assert!(response.has_error(), "{response:?}");
        assert_eq!(fleet.engine_record(0).await.len(), 3 + index);
    }
}

/// The deadline of the call is 20 s.
#[ntex::test]
async fn frozen_engine_is_given_up() {
    let fleet = TestFleet::start(plan("frozen_engine_is_given_up")).await;
    spend_retry(&fleet).await;
    let request = ChatRequest::new("chat-1", 6).fault(json!({"stall_at": 3}));
    let began = Instant::now();
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.has_error(), "{response:?}");
    assert!(began.elapsed() < Duration::from_secs(10));
}

#[ntex::test]
async fn caller_leaves_silent_engine() {
    let fleet = TestFleet::start(plan("caller_leaves_silent_engine")).await;
    spend_retry(&fleet).await;
    for (index, fault) in [json!({"hold_at": 3}), json!({"hold_head": true})]
        .into_iter()
        .enumerate()
    {
        let (caller, entry) = (fleet.caller(), fleet.entry(0));
        let request = ChatRequest::new("chat-1", 6).rank("long").fault(fault);
        let left = tokio::time::timeout(SILENCE, caller.chat(entry, &request)).await;
        assert!(left.is_err(), "{left:?}");
        fleet
            .wait_status(0, "slot is released", |status| status.running == 0)
            .await;
        assert_eq!(fleet.engine_record(0).await.len(), 3 + index);
    }
}

#[ntex::test]
async fn silent_work_is_preempted() {
    let fleet = TestFleet::start(plan("silent_work_is_preempted").slots(4)).await;
    spend_retry(&fleet).await;
    let held = |chat: &str, rank: &str| {
        let request = ChatRequest::new(chat, 6)
            .rank(rank)
            .fault(json!({"hold_head": true}));
        spawn_chat(&fleet, request)
    };
    let mut pending: Vec<_> = (0..3).map(|n| held(&format!("long-{n}"), "long")).collect();
    fleet
        .wait_status(0, "long requests run", |status| status.running == 3)
        .await;
    pending.push(held("quick-held", "quick"));
    fleet
        .wait_status(0, "headroom is taken", |status| status.running == 4)
        .await;
    tokio::time::sleep(SILENCE).await;
    let request = ChatRequest::new("quick-now", 3);
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.is_complete(3), "{response:?}");
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    for chat in pending {
        let response = chat.await.expect("caller");
        assert!(response.is_complete(6), "{response:?}");
    }
}
