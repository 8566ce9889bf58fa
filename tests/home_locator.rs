//! The locator must return the slot owner of a chat's preferred engine. Otherwise every request of
//! the chat would need a message to another router to get a slot.

mod fleet;

use fleet::caller::ChatRequest;
use fleet::{ADMIN_TOKEN, FleetPlan, MODEL, TestFleet, wait_for};
use hawthornrouter::admin::ExplainBody;
use hawthornrouter::client::ClientRequest;
use hawthornrouter::locator::EntryResponse;

#[ntex::test]
async fn returns_slot_owner_of_preferred_engine() {
    let fleet = TestFleet::start(FleetPlan::new("steward_of_home").engines(6)).await;
    for number in 0..8 {
        let chat = format!("chat-{number}");
        let admin = fleet.routers[0].settings.admin;
        let target = format!("/v1/explain?model={MODEL}&chat={chat}");
        let request = ClientRequest::get(admin, target).bearer(ADMIN_TOKEN);
        let response = fleet
            .client
            .send(request)
            .await
            .expect("admin endpoint responds");
        let explanation: ExplainBody = response.json().await.expect("body is an explanation");
        let slot_owner = explanation.routes[0].steward.clone();
        let target = format!("/v1/entry?chat={chat}&model={MODEL}");
        let located = wait_for("locator returns the slot owner", async || {
            let request = ClientRequest::get(fleet.locator.address, target.as_str());
            let response = fleet.client.send(request).await.ok()?;
            let response: EntryResponse = response.json().await.ok()?;
            (Some(&response.vm) == slot_owner.as_ref()).then_some(response)
        })
        .await;
        let response = fleet
            .caller()
            .chat(located.address, &ChatRequest::new(&chat, 2))
            .await;
        assert!(response.is_complete(2), "{response:?}");
    }
}
