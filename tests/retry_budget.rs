//! Guards against more retries than the rule `retry_budget` permits.

mod fleet;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, TestFleet};
use hawthornrouter::units::ShareRatio;
use serde_json::json;

#[ntex::test]
async fn retries_earn_no_retries() {
    let plan = FleetPlan::new("retries_earn_no_retries")
        .routers(1)
        .rules(|rules| rules.retry_budget = ShareRatio::from_percent(50));
    let fleet = TestFleet::start(plan).await;
    let requests = 2;
    for index in 0..requests {
        let request = ChatRequest::new(&format!("chat-{index}"), 9).fault(json!({"cut_at": 0}));
        let response = fleet.caller().chat(fleet.entry(0), &request).await;
        assert!(response.has_error(), "{response:?}");
    }
    // The budget starts with one retry, and each request adds half a retry.
    let retries = fleet.engine_records().await.len() - requests;
    assert_eq!(retries, 2);
}
