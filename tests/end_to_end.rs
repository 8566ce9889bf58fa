//! A caller asks the locator, connects there, and gets a streamed answer; an order runs once.

mod fleet;

use fleet::caller::ChatAsk;
use fleet::{FleetPlan, TestFleet, wait_for};

#[ntex::test]
async fn served_end_to_end() {
    let fleet = TestFleet::start(FleetPlan::new("served_end_to_end")).await;
    let named = wait_for("locator names a VM", async || fleet.locate("chat-1").await).await;
    let answer = fleet
        .caller()
        .chat(named.address, &ChatAsk::new("chat-1", 5))
        .await;
    assert!(answer.is_whole(5), "{answer:?}");

    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    let order = r#"{"bags":12}"#;
    let first = fleet.caller().order(fleet.entry(0), &ticket, order).await;
    let second = fleet.caller().order(fleet.entry(1), &ticket, order).await;
    assert_eq!(first.outcome, "done");
    assert_eq!(second, first);
    assert_eq!(fleet.service_record().await, [order]);
}
