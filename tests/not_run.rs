//! A request that was refused with the outcome `not_run` must not reach an engine or a service, not
//! even later: a caller may safely repeat it.

mod fleet;

use std::collections::HashSet;

use fleet::caller::{ChatRequest, ChatResponse};
use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::future::{join_all, select_all};
use hawthornrouter::board::LifeStage;
use hawthornrouter::client::ClientRequest;
use hawthornrouter::units::TimeSpan;
use serde_json::json;

/// Checks that no refused request is in the engines' records, and returns the number of refusals.
async fn check_refusals(fleet: &TestFleet, responses: &[(String, ChatResponse)]) -> usize {
    let ran: HashSet<String> = fleet
        .engine_records()
        .await
        .into_iter()
        .map(|run| {
            let body: serde_json::Value = serde_json::from_str(&run.body).expect("body");
            body["note"].as_str().expect("note").to_owned()
        })
        .collect();
    let refused = responses
        .iter()
        .filter(|(_, response)| response.is_not_run());
    refused
        .inspect(|(note, response)| assert!(!ran.contains(note), "{note} ran: {response:?}"))
        .count()
}

/// Guards against running a request after its deadline: the only slot stays occupied until all
/// waiting requests have expired in the queue.
#[ntex::test]
async fn deadline_expired() {
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
    let slot_caller = caller.clone();
    let slot_chat = ntex::rt::spawn(async move {
        let request = ChatRequest::new("holder", 3)
            .rank("verdict")
            .note("holder")
            .fault(json!({"hold_at": 1}));
        slot_caller.chat(entry, &request).await
    });
    fleet
        .wait_status(0, "slot is taken", |status| status.running == 1)
        .await;
    let requests: Vec<ChatRequest> = (0..4)
        .map(|index| ChatRequest::new("late", 3).note(&format!("late-{index}")))
        .collect();
    let responses = join_all(
        requests
            .iter()
            .map(|request| caller.chat(fleet.entry(0), request)),
    )
    .await;
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    assert!(slot_chat.await.expect("caller").is_complete(3));
    let responses: Vec<_> = requests
        .into_iter()
        .map(|request| request.note)
        .zip(responses)
        .collect();
    assert!(
        responses
            .iter()
            .all(|(_, response)| response.retry_after.is_some()),
        "{responses:?}"
    );
    assert_eq!(check_refusals(&fleet, &responses).await, 4);
}

/// No connection to the only engine can be opened.
#[ntex::test]
async fn engine_unreachable() {
    let mut fleet = TestFleet::start(FleetPlan::new("dead_upstream").engines(1)).await;
    fleet.engines[0].process.take().expect("engine runs").kill();
    let response = fleet
        .caller()
        .chat(fleet.entry(0), &ChatRequest::new("chat-1", 3))
        .await;
    assert_eq!(response.status, 503);
    assert!(response.is_not_run(), "{response:?}");
    assert!(response.retry_after.is_some());
}

/// The engine itself refuses the request without running it.
#[ntex::test]
async fn engine_refuses() {
    let fleet = TestFleet::start(FleetPlan::new("refusing_engine")).await;
    let request = ChatRequest::new("chat-1", 3)
        .note("refused")
        .fault(json!({"refuse": true}));
    let response = fleet.caller().chat(fleet.entry(0), &request).await;
    assert!(response.is_not_run(), "{response:?}");
    assert_eq!(check_refusals(&fleet, &[(request.note, response)]).await, 1);
}

/// Guards against running a copy of a refused order. The first copy finds the service unreachable;
/// later copies arrive at both routers after the service has restarted.
#[ntex::test]
async fn service_unreachable() {
    let mut fleet = TestFleet::start(FleetPlan::new("dead_service")).await;
    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    fleet.service.process.take().expect("service runs").kill();
    let response = fleet.caller().order(fleet.entry(0), &ticket, "{}").await;
    assert_eq!(response.outcome, "not_run");
    // A delayed copy must not run although the service is reachable again.
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
    wait_for("service responds", async || {
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

/// Guards against a false `not_run`: if the router that minted the ticket is down, another router
/// can't know whether the order ran.
#[ntex::test]
async fn ticket_owner_down() {
    let mut fleet = TestFleet::start(FleetPlan::new("dead_peer")).await;
    let ticket = fleet.caller().ticket(fleet.entry(0)).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    let response = fleet.caller().order(fleet.entry(1), &ticket, "{}").await;
    assert_eq!(
        response.outcome, "unknown",
        "only the ticket's owner may report not_run: {response:?}"
    );
    assert!(fleet.service_record().await.is_empty());
}

/// A router that is shutting down refuses new work while a running request keeps it in the closing
/// stage.
#[ntex::test]
async fn closing_router() {
    let fleet = TestFleet::start(FleetPlan::new("closing_router")).await;
    let caller = fleet.caller();
    let entry = fleet.entry(0);
    let ticket = caller.ticket(entry).await;
    let slot_caller = caller.clone();
    let slot_chat = ntex::rt::spawn(async move {
        let request = ChatRequest::new("holder", 3)
            .note("holder")
            .fault(json!({"hold_at": 1}));
        slot_caller.chat(entry, &request).await
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
    let request = ChatRequest::new("late", 3).note("late");
    let response = caller.chat(entry, &request).await;
    assert!(response.is_not_run(), "{response:?}");
    let order = caller.order(entry, &ticket, "{}").await;
    assert_eq!(order.outcome, "not_run", "{order:?}");
    let copy = caller.order(fleet.entry(1), &ticket, "{}").await;
    assert_eq!(copy.outcome, "not_run", "{copy:?}");
    for index in 0..fleet.engines.len() {
        fleet
            .control(fleet.engines[index].address, "release", &())
            .await;
    }
    assert!(slot_chat.await.expect("caller").is_complete(3));
    assert_eq!(check_refusals(&fleet, &[(request.note, response)]).await, 1);
    assert!(fleet.service_record().await.is_empty());
}

/// The router stops while a request that was preempted before its first event waits for its engine.
#[ntex::test]
async fn preempted_at_drain_limit() {
    let plan = FleetPlan::new("preempted_at_drain_limit")
        .routers(1)
        .engines(1)
        .slots(4)
        .drain_limit(TimeSpan::from_millis(1))
        .rules(|rules| rules.caller_ping = TimeSpan::from_millis(60_000));
    let fleet = TestFleet::start(plan).await;
    let held_chats = async |rank: &str, count: usize, running: u64| {
        let requests = (0..count).map(|index| {
            let (caller, entry) = (fleet.caller(), fleet.entry(0));
            let note = format!("{rank}-{index}");
            let request = ChatRequest::new(&note, 3)
                .rank(rank)
                .note(&note)
                .fault(json!({"hold_at": 0}));
            ntex::rt::spawn(async move { (note, caller.chat(entry, &request).await) })
        });
        let chats: Vec<_> = requests.collect();
        fleet
            .wait_status(0, "requests run", |status| status.running == running)
            .await;
        chats
    };
    let long = held_chats("long", 3, 3).await;
    // The second quick request preempts a long one.
    let mut chats = held_chats("quick", 2, 4).await;
    chats.extend(long);
    fleet
        .wait_status(0, "long request waits", |status| status.waiting[2] == 1)
        .await;
    fleet.routers[0].process().terminate();
    let (first, _, others) = select_all(chats).await;
    let (note, response) = first.expect("caller");
    assert!(note.starts_with("long"), "{note}: {response:?}");
    assert!(response.has_error(), "{response:?}");
    assert_eq!(check_refusals(&fleet, &[(note, response)]).await, 0);
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    for chat in others {
        let (note, response) = chat.await.expect("caller");
        assert!(response.is_complete(3), "{note}: {response:?}");
    }
}

/// The router stops while a request is queued whose caller has received a comment.
#[ntex::test]
async fn queued_at_drain_limit() {
    let plan = FleetPlan::new("queued_at_drain_limit")
        .routers(1)
        .engines(1)
        .slots(1)
        .drain_limit(TimeSpan::from_millis(1))
        .rules(|rules| rules.caller_ping = TimeSpan::from_millis(50));
    let fleet = TestFleet::start(plan).await;
    let (caller, entry) = (fleet.caller(), fleet.entry(0));
    let slot_caller = caller.clone();
    let slot_chat = ntex::rt::spawn(async move {
        let request = ChatRequest::new("holder", 3)
            .rank("verdict")
            .note("holder")
            .fault(json!({"hold_at": 1}));
        slot_caller.chat(entry, &request).await
    });
    fleet
        .wait_status(0, "slot is taken", |status| status.running == 1)
        .await;
    let queued_chat = ntex::rt::spawn(async move {
        let request = ChatRequest::new("queued", 3).rank("long").note("queued");
        caller.chat(entry, &request).await
    });
    fleet
        .wait_status(0, "request waits", |status| status.waiting[2] == 1)
        .await;
    fleet.routers[0].process().terminate();
    let response = queued_chat.await.expect("caller");
    assert!(response.is_not_run(), "{response:?}");
    let responses = [("queued".to_owned(), response)];
    assert_eq!(check_refusals(&fleet, &responses).await, 1);
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    assert!(slot_chat.await.expect("caller").is_complete(3));
}
