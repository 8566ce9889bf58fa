//! Guards against responses that are truncated without an error, or that contain events of another
//! caller's request, when engines cut, stall, repeat, skip or mix up events.

mod fleet;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, TestFleet};
use futures_util::future::join_all;
use hawthornrouter::units::{ShareRatio, TimeSpan};
use serde_json::json;

fn plan(name: &str) -> FleetPlan {
    FleetPlan::new(name).rules(|rules| {
        rules.retry_budget = ShareRatio::from_percent(100);
        rules.ranks.quick.next_event = TimeSpan::from_millis(500);
        rules.ranks.quick.first_event = TimeSpan::from_millis(2000);
    })
}

#[ntex::test]
async fn faulty_streams() {
    let fleet = TestFleet::start(plan("faulty_streams")).await;
    let faults = [
        json!({}),
        json!({"cut_at": 3}),
        json!({"stall_at": 4}),
        json!({"repeat": true}),
        json!({"cross": true}),
        json!({"skip": 2}),
        json!({"cross": true, "repeat": true, "cut_at": 5}),
    ];
    let requests: Vec<ChatRequest> = faults
        .iter()
        .enumerate()
        .map(|(index, fault)| ChatRequest::new(&format!("chat-{index}"), 9).fault(fault.clone()))
        .collect();
    let caller = fleet.caller();
    let responses = join_all(
        requests
            .iter()
            .enumerate()
            .map(|(index, request)| caller.chat(fleet.entry(index % 2), request)),
    )
    .await;
    for (request, response) in requests.iter().zip(responses) {
        assert!(
            !response.text.contains("foreign"),
            "{:?}: {response:?}",
            request.fault
        );
        assert!(response.is_complete(9), "{:?}: {response:?}", request.fault);
    }
}

/// Guards against a stream that is cut because its bytes count as a response without progress.
#[ntex::test]
async fn long_stream() {
    let fleet = TestFleet::start(plan("long_stream").engines(1)).await;
    let request = ChatRequest::new("chat-1", 40).fault(json!({"pad": 64 << 10, "always": true}));
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.is_complete(40), "{} bytes", response.text.len());
    let runs = fleet.engine_record(0).await;
    assert_eq!(runs.len(), 1, "the stream was resumed");
}

#[ntex::test]
async fn cut_before_first_event() {
    let fleet = TestFleet::start(plan("cut_before_first_event")).await;
    // Every engine cuts the stream before its first event. The request was sent to all of them, and
    // whether one of them ran it is unknown.
    let request = ChatRequest::new("chat-1", 9).fault(json!({"cut_at": 0}));
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(
        response.has_error() && !response.is_not_run(),
        "{response:?}"
    );
    assert_eq!(fleet.engine_records().await.len(), 3);
}

#[ntex::test]
async fn cut_on_every_engine() {
    let fleet = TestFleet::start(plan("cut_on_every_engine")).await;
    let request = ChatRequest::new("chat-1", 9).fault(json!({"cut_at": 3, "always": true}));
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.has_error(), "{response:?}");
    assert!(!response.is_not_run(), "{response:?}");
    assert_eq!(response.event_data().len(), 3);
}

#[ntex::test]
async fn engine_killed() {
    let mut fleet = TestFleet::start(plan("engine_killed").engines(1)).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let pending = ntex::rt::spawn(async move {
        let request = ChatRequest::new("chat-1", 9).fault(json!({"hold_at": 3}));
        caller.chat(entry, &request).await
    });
    fleet.wait_runs(0).await;
    fleet.engines[0].process.take().expect("engine runs").kill();
    let response = pending.await.expect("caller");
    assert!(response.has_error(), "{response:?}");
    assert!(response.event_data().len() <= 3);
    assert!(!response.is_complete(9));
}
