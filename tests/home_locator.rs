//! The locator names the router that grants the slots of the chat's home engine.

mod fleet;

use fleet::caller::ChatAsk;
use fleet::{ADMIN_TOKEN, FleetPlan, MODEL, TestFleet, wait_for};
use hawthornrouter::admin::ExplainBody;
use hawthornrouter::locator::EntryAnswer;

#[ntex::test]
async fn steward_of_home() {
    let fleet = TestFleet::start(FleetPlan::new("steward_of_home").engines(6)).await;
    for number in 0..8 {
        let chat = format!("chat-{number}");
        let admin = fleet.routers[0].settings.admin;
        let url = format!("http://{admin}/v1/explain?model={MODEL}&chat={chat}");
        let call = fleet.client.get(url).bearer_auth(ADMIN_TOKEN).force_close();
        let body = call
            .send()
            .await
            .expect("admin answers")
            .body()
            .await
            .expect("body");
        let explained: ExplainBody = serde_json::from_slice(&body).expect("routes");
        let steward = explained.routes[0].steward.clone();
        let url = format!(
            "http://{}/v1/entry?chat={chat}&model={MODEL}",
            fleet.locator.address
        );
        let named = wait_for("locator names the steward", async || {
            let response = fleet.client.get(&url).force_close().send().await.ok()?;
            let body = response.body().await.ok()?;
            let answer = serde_json::from_slice::<EntryAnswer>(&body).ok()?;
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
