//! The basic path through all processes: a caller asks the locator for a VM, connects to its router
//! and receives a complete streamed response. An order that is sent again to another router with
//! the same ticket must return the first outcome and not run twice.

mod fleet;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, TestFleet, wait_for};

#[ntex::test]
async fn served_end_to_end() {
    let fleet = TestFleet::start(FleetPlan::new("served_end_to_end")).await;
    let located = wait_for("locator names a VM", async || fleet.locate("chat-1").await).await;
    let response = fleet
        .caller()
        .chat(located.address, &ChatRequest::new("chat-1", 5))
        .await;
    assert!(response.is_complete(5), "{response:?}");

    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    let order = r#"{"bags":12}"#;
    let first = fleet.caller().order(fleet.entry(0), &ticket, order).await;
    let second = fleet.caller().order(fleet.entry(1), &ticket, order).await;
    assert_eq!(first.outcome, "done");
    assert_eq!(second, first);
    assert_eq!(fleet.service_record().await, [order]);
}
