//! The locator names the router that grants the slots of the chat's home engine.

mod fleet;

use fleet::caller::ChatAsk;
use fleet::{ADMIN_TOKEN, FleetPlan, MODEL, TestFleet, wait_for};
use hawthornrouter::admin::ExplainBody;
use hawthornrouter::client::ClientRequest;
use hawthornrouter::locator::EntryResponse;

#[ntex::test]
async fn steward_of_home() {
    let fleet = TestFleet::start(FleetPlan::new("steward_of_home").engines(6)).await;
    for number in 0..8 {
        let chat = format!("chat-{number}");
        let admin = fleet.routers[0].settings.admin;
        let target = format!("/v1/explain?model={MODEL}&chat={chat}");
        let call = ClientRequest::get(admin, target).bearer(ADMIN_TOKEN);
        let answer = fleet.client.send(call).await.expect("admin answers");
        let explained: ExplainBody = answer.json().await.expect("routes");
        let steward = explained.routes[0].steward.clone();
        let target = format!("/v1/entry?chat={chat}&model={MODEL}");
        let named = wait_for("locator names the steward", async || {
            let call = ClientRequest::get(fleet.locator.address, target.as_str());
            let answer = fleet.client.send(call).await.ok()?;
            let answer: EntryResponse = answer.json().await.ok()?;
            (Some(&answer.vm) == steward.as_ref()).then_some(answer)
        })
        .await;
        let answer = fleet
            .caller()
            .chat(named.address, &ChatAsk::new(&chat, 2))
            .await;
        assert!(answer.is_whole(2), "{answer:?}");
    }
}
