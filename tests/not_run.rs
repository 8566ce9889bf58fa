//! A request that was refused with "not run" is in no upstream's record, then or later.

mod fleet;

use std::collections::HashSet;

use fleet::caller::{ChatAnswer, ChatAsk};
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::join_all;
use hawthornrouter::board::LifeStage;
use hawthornrouter::client::ClientRequest;
use hawthornrouter::units::TimeSpan;
use serde_json::json;

/// Checks every refusal against the engines' own records.
async fn check_refusals(fleet: &TestFleet, answers: &[(String, ChatAnswer)]) -> usize {
    let ran: HashSet<String> = fleet
        .engine_records()
        .await
        .into_iter()
        .map(|run| {
            let body: serde_json::Value = serde_json::from_str(&run.body).expect("body");
            body["note"].as_str().expect("note").to_owned()
        })
        .collect();
    let refused = answers.iter().filter(|(_, answer)| answer.is_not_run());
    refused
        .inspect(|(note, answer)| assert!(!ran.contains(note), "{note} ran: {answer:?}"))
        .count()
}

#[ntex::test]
async fn deadline_passed() {
    let plan = FleetPlan::new("deadline_passed")
        .engines(1)
        .slots(1)
        .rules(|rules| {
            rules.ranks.quick.max_wait = TimeSpan::from_millis(300);
            rules.ranks.quick.deadline = TimeSpan::from_millis(300);
        });
    let fleet = TestFleet::start(plan).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let holder = caller.clone();
    let held = ntex::rt::spawn(async move {
        let ask = ChatAsk::new("holder", 3)
            .rank("verdict")
            .note("holder")
            .fault(json!({"hold_at": 1}));
        holder.chat(entry, &ask).await
    });
    fleet
        .wait_status(0, "slot is taken", |status| status.running == 1)
        .await;
    let asks: Vec<ChatAsk> = (0..4)
        .map(|index| ChatAsk::new("late", 3).note(&format!("late-{index}")))
        .collect();
    let answers = join_all(asks.iter().map(|ask| caller.chat(fleet.entry(0), ask))).await;
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    assert!(held.await.expect("caller").is_whole(3));
    let answers: Vec<_> = asks.into_iter().map(|ask| ask.note).zip(answers).collect();
    assert!(
        answers
            .iter()
            .all(|(_, answer)| answer.retry_after.is_some()),
        "{answers:?}"
    );
    assert_eq!(check_refusals(&fleet, &answers).await, 4);
}

#[ntex::test]
async fn dead_upstream() {
    let mut fleet = TestFleet::start(FleetPlan::new("dead_upstream").engines(1)).await;
    fleet.engines[0].process.take().expect("engine runs").kill();
    let answer = fleet
        .caller()
        .chat(fleet.entry(0), &ChatAsk::new("chat-1", 3))
        .await;
    assert_eq!(answer.status, 503);
    assert!(answer.is_not_run(), "{answer:?}");
    assert!(answer.retry_after.is_some());
}

#[ntex::test]
async fn refusing_engine() {
    let fleet = TestFleet::start(FleetPlan::new("refusing_engine")).await;
    let ask = ChatAsk::new("chat-1", 3)
        .note("refused")
        .fault(json!({"refuse": true}));
    let answer = fleet.caller().chat(fleet.entry(0), &ask).await;
    assert!(answer.is_not_run(), "{answer:?}");
    assert_eq!(check_refusals(&fleet, &[(ask.note, answer)]).await, 1);
}

#[ntex::test]
async fn dead_service() {
    let mut fleet = TestFleet::start(FleetPlan::new("dead_service")).await;
    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    fleet.service.process.take().expect("service runs").kill();
    let answer = fleet.caller().order(fleet.entry(0), &ticket, "{}").await;
    assert_eq!(answer.outcome, "not_run");
    // A delayed copy that arrives after the refusal must not run, though the service is back.
    let address = fleet.service.address;
    fleet.service.process = Some(fleet::process::TestProcess::start(
        &fleet::process::standins_binary(),
        &[
            "service".to_owned(),
            "--listen".to_owned(),
            address.to_string(),
        ],
        &fleet.dir,
        "service-again",
    ));
    wait_for("service answers", async || {
        fleet
            .client
            .send(ClientRequest::get(address, "/record"))
            .await
            .ok()
    })
    .await;
    for index in 0..2 {
        let copy = fleet
            .caller()
            .order(fleet.entry(index), &ticket, "{}")
            .await;
        assert_eq!(copy.outcome, "not_run", "{copy:?}");
    }
    assert!(fleet.service_record().await.is_empty());
}

#[ntex::test]
async fn dead_peer() {
    let mut fleet = TestFleet::start(FleetPlan::new("dead_peer")).await;
    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    let answer = fleet.caller().order(fleet.entry(1), &ticket, "{}").await;
    assert_eq!(
        answer.outcome, "unknown",
        "only the owner can say not_run: {answer:?}"
    );
    assert!(fleet.service_record().await.is_empty());
}

#[ntex::test]
async fn closing_router() {
    let fleet = TestFleet::start(FleetPlan::new("closing_router")).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let ticket = caller.ticket(entry).await;
    let holder = caller.clone();
    let held = ntex::rt::spawn(async move {
        let ask = ChatAsk::new("holder", 3)
            .note("holder")
            .fault(json!({"hold_at": 1}));
        holder.chat(entry, &ask).await
    });
    fleet
        .wait_status(0, "slot is taken", |status| status.running == 1)
        .await;
    fleet.routers[0].process().terminate();
    fleet
        .wait_status(0, "router closes", |status| {
            status.stage == LifeStage::Closing
        })
        .await;
    let ask = ChatAsk::new("late", 3).note("late");
    let answer = caller.chat(entry, &ask).await;
    assert!(answer.is_not_run(), "{answer:?}");
    let order = caller.order(entry, &ticket, "{}").await;
    assert_eq!(order.outcome, "not_run", "{order:?}");
    let copy = caller.order(fleet.entry(1), &ticket, "{}").await;
    assert_eq!(copy.outcome, "not_run", "{copy:?}");
    for index in 0..fleet.engines.len() {
        fleet
            .control(fleet.engines[index].address, "release", &())
            .await;
    }
    assert!(held.await.expect("caller").is_whole(3));
    assert_eq!(check_refusals(&fleet, &[(ask.note, answer)]).await, 1);
    assert!(fleet.service_record().await.is_empty());
}
