//! Every caller gets its own whole answer or an explicit error, and no foreign byte.

mod fleet;

use fleet::caller::ChatAsk;
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
    let asks: Vec<ChatAsk> = faults
        .iter()
        .enumerate()
        .map(|(index, fault)| ChatAsk::new(&format!("chat-{index}"), 9).fault(fault.clone()))
        .collect();
    let caller = fleet.caller();
    let answers = join_all(
        asks.iter()
            .enumerate()
            .map(|(index, ask)| caller.chat(fleet.entry(index % 2), ask)),
    )
    .await;
    for (ask, answer) in asks.iter().zip(answers) {
        assert!(
            !answer.text.contains("foreign"),
            "{:?}: {answer:?}",
            ask.fault
        );
        assert!(answer.is_whole(9), "{:?}: {answer:?}", ask.fault);
    }
}

#[ntex::test]
async fn nothing_relayed() {
    let fleet = TestFleet::start(plan("nothing_relayed")).await;
    // Every engine cuts it before its first event, so it was tried on each and is not known.
    let ask = ChatAsk::new("chat-1", 9).fault(json!({"cut_at": 0}));
    let answer = fleet.caller().chat(fleet.entry(0), &ask).await;
    assert!(answer.has_error() && !answer.is_not_run(), "{answer:?}");
    assert_eq!(fleet.engine_records().await.len(), 3);
}

#[ntex::test]
async fn hopeless_stream() {
    let fleet = TestFleet::start(plan("hopeless_stream")).await;
    let ask = ChatAsk::new("chat-1", 9).fault(json!({"cut_at": 3, "always": true}));
    let answer = fleet.caller().chat(fleet.entry(0), &ask).await;
    assert!(answer.has_error(), "{answer:?}");
    assert!(!answer.is_not_run(), "{answer:?}");
    assert_eq!(answer.pieces().len(), 3);
}

#[ntex::test]
async fn engine_killed() {
    let mut fleet = TestFleet::start(plan("engine_killed").engines(1)).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let held = ntex::rt::spawn(async move {
        let ask = ChatAsk::new("chat-1", 9).fault(json!({"hold_at": 3}));
        caller.chat(entry, &ask).await
    });
    fleet.wait_runs(0).await;
    fleet.engines[0].process.take().expect("engine runs").kill();
    let answer = held.await.expect("caller");
    assert!(answer.has_error(), "{answer:?}");
    assert!(answer.pieces().len() <= 3);
    assert!(!answer.is_whole(9));
}
