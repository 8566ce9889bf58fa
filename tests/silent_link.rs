//! An established connection stops delivering data without being closed, while new connections
//! work. Each kind of connection must time out and be replaced.

mod fleet;

use std::io::Write;
use std::net::TcpStream;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, MODEL, RelayedLink, TOKEN, TestFleet, wait_for};
use hawthornrouter::units::{ShareRatio, TimeSpan};
use serde_json::json;

#[ntex::test]
async fn engine_connection() {
    let plan = FleetPlan::new("silent_engine")
        .engines(1)
        .relay(RelayedLink::Engine)
        .rules(|rules| {
            rules.retry_budget = ShareRatio::from_percent(100);
            rules.ranks.quick.next_event = TimeSpan::from_millis(500);
        });
    let fleet = TestFleet::start(plan).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let request = ChatRequest::new("chat-1", 6).fault(json!({"hold_at": 3}));
    let running = ntex::rt::spawn(async move { caller.chat(entry, &request).await });
    fleet.wait_runs(0).await;
    fleet
        .control(fleet.relay.expect("relay runs"), "silence", &())
        .await;
    let response = running.await.expect("caller");
    assert!(response.is_complete(6), "{response:?}");
}

#[ntex::test]
async fn config_service_connection() {
    let plan = FleetPlan::new("silent_config")
        .routers(1)
        .relay(RelayedLink::Config);
    let mut fleet = TestFleet::start(plan).await;
    fleet
        .control(fleet.relay.expect("relay runs"), "silence", &())
        .await;
    let revision = fleet.publish_next(|_| {}).await;
    fleet
        .wait_status(0, "revision 2", |status| status.revision.0 == revision)
        .await;
}

#[ntex::test]
async fn peer_connection() {
    let plan = FleetPlan::new("silent_peer").relay(RelayedLink::Peer);
    let fleet = TestFleet::start(plan).await;
    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    fleet
        .control(fleet.relay.expect("relay runs"), "silence", &())
        .await;
    let response = wait_for("outcome of the order is known", async || {
        let response = fleet.caller().order(fleet.entry(1), &ticket, "{}").await;
        (response.outcome != "unknown").then_some(response)
    })
    .await;
    assert_eq!(response.outcome, "done", "{response:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn stalled_caller() {
    let plan = FleetPlan::new("silent_caller").routers(1).rules(|rules| {
        rules.caller_stall = TimeSpan::from_millis(500);
    });
    let fleet = TestFleet::start(plan).await;
    // This caller never reads, and the response is larger than all buffers on the way. The router
    // must close the connection to free the slot.
    let fault = json!({"pad": 50_000});
    let body = json!({"model": MODEL, "max_tokens": 1_000_000, "fault": fault}).to_string();
    let mut stalled = TcpStream::connect(fleet.entry(0)).expect("connect");
    write!(
        stalled,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("send");
    fleet
        .wait_status(0, "request runs", |status| status.running == 1)
        .await;
    fleet
        .wait_status(0, "slot is released", |status| status.running == 0)
        .await;
    let response = fleet
        .caller()
        .chat(fleet.entry(0), &ChatRequest::new("chat-2", 3))
        .await;
    assert!(response.is_complete(3), "{response:?}");
}
