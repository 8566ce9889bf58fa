//! No ticket runs twice, and what is not known is called unknown.

mod fleet;

use fleet::{FleetPlan, TestFleet, wait_for};
use futures_util::join;
use hawthornrouter::board::LifeStage;
use hawthornrouter::units::TimeSpan;

const ORDER: &str = r#"{"order":"one"}"#;
const HELD_ORDER: &str = r#"{"order":"one","hold":true}"#;

fn plan(name: &str) -> FleetPlan {
    FleetPlan::new(name).rules(|rules| rules.service_answer = TimeSpan::from_millis(1000))
}

async fn wait_service_called(fleet: &TestFleet) {
    wait_for("service is called", async || {
        (!fleet.service_record().await.is_empty()).then_some(())
    })
    .await;
}

#[ntex::test]
async fn doubled_order() {
    let fleet = TestFleet::start(FleetPlan::new("doubled_order")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let release = async {
        wait_service_called(&fleet).await;
        fleet.control(fleet.service.address, "release", &()).await;
    };
    let (first, second, third, ()) = join!(
        caller.order(fleet.entry(0), &ticket, HELD_ORDER),
        caller.order(fleet.entry(1), &ticket, HELD_ORDER),
        caller.order(fleet.entry(1), &ticket, HELD_ORDER),
        release,
    );
    assert_eq!(first.outcome, "done", "{first:?}");
    assert_eq!(first, second);
    assert_eq!(first, third);
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn no_ticket() {
    let fleet = TestFleet::start(plan("no_ticket")).await;
    let entry = fleet.entry(0);
    let answer = fleet.caller().order(entry, "", ORDER).await;
    assert_eq!(answer.status, 400, "{answer:?}");
    let other = fleet::caller::TestCaller::new(fleet.client.clone(), fleet::OTHER_TOKEN);
    let ticket = other.ticket(entry).await;
    let stolen = fleet.caller().order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(stolen.outcome, "unknown", "{stolen:?}");
    assert_eq!(stolen.status, 403);
    assert!(fleet.service_record().await.is_empty());
}

#[ntex::test]
async fn frozen_owner() {
    let fleet = TestFleet::start(plan("frozen_owner")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    fleet.routers[0].process().freeze();
    let frozen = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(frozen.outcome, "unknown", "{frozen:?}");
    fleet
        .wait_status(1, "owner counts as gone", |status| {
            status.upstreams.iter().all(|engine| engine.steward)
        })
        .await;
    let again = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    fleet.routers[0].process().wake();
    let settled = wait_for("owner answers", async || {
        let answer = caller.order(fleet.entry(1), &ticket, ORDER).await;
        (answer.outcome != "unknown").then_some(answer)
    })
    .await;
    assert_eq!(settled.outcome, "done", "{settled:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn owner_killed_before() {
    let mut fleet = TestFleet::start(plan("owner_killed_before")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    let answer = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    // The same VM comes back empty: its new run does not own the old ticket.
    fleet.start_router(0);
    fleet.wait_serving().await;
    for index in 0..2 {
        let answer = caller.order(fleet.entry(index), &ticket, ORDER).await;
        assert_eq!(answer.outcome, "unknown", "{answer:?}");
    }
    assert!(fleet.service_record().await.is_empty());
}

#[ntex::test]
async fn owner_killed_during() {
    let mut fleet = TestFleet::start(FleetPlan::new("owner_killed_during")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let entry = fleet.entry(1);
    let (relaying, same) = (caller.clone(), ticket.clone());
    let relayed = ntex::rt::spawn(async move { relaying.order(entry, &same, HELD_ORDER).await });
    wait_service_called(&fleet).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    let answer = relayed.await.expect("caller");
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    fleet.control(fleet.service.address, "release", &()).await;
    let again = caller.order(fleet.entry(1), &ticket, HELD_ORDER).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn owner_killed_after() {
    let mut fleet = TestFleet::start(plan("owner_killed_after")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let answer = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(answer.outcome, "done", "{answer:?}");
    fleet.routers[0].process.take().expect("router runs").kill();
    let again = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn peers_cut_apart() {
    let plan = plan("peers_cut_apart").relay(fleet::RelayLeg::Peer);
    let fleet = TestFleet::start(plan).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let relay = fleet.relay.expect("relay runs");
    fleet.control(relay, "mode", &"block").await;
    let cut = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(cut.outcome, "unknown", "{cut:?}");
    let direct = caller.order(fleet.entry(0), &ticket, ORDER).await;
    assert_eq!(direct.outcome, "done", "{direct:?}");
    fleet.control(relay, "mode", &"pass").await;
    let healed = wait_for("peers meet again", async || {
        let answer = caller.order(fleet.entry(1), &ticket, ORDER).await;
        (answer.outcome != "unknown").then_some(answer)
    })
    .await;
    assert_eq!(healed, direct);
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn config_changed_between() {
    let mut fleet = TestFleet::start(plan("config_changed_between")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let first = caller.order(fleet.entry(0), &ticket, ORDER).await;
    let revision = fleet
        .publish_next(|bundle| {
            bundle.rules.ticket_life = TimeSpan::from_millis(1000);
            bundle.register.vms.reverse();
        })
        .await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 2", |status| status.revision.0 == revision)
            .await;
        let again = caller.order(fleet.entry(index), &ticket, ORDER).await;
        assert_eq!(again, first);
    }
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn ledger_handed_over() {
    let mut fleet = TestFleet::start(plan("ledger_handed_over")).await;
    let caller = fleet.caller();
    let spent = caller.ticket(fleet.entry(0)).await;
    let unspent = caller.ticket(fleet.entry(0)).await;
    let first = caller.order(fleet.entry(0), &spent, ORDER).await;
    assert_eq!(first.outcome, "done", "{first:?}");
    fleet
        .wait_status(0, "router serves", |status| {
            status.stage == LifeStage::Serving
        })
        .await;
    fleet.routers[0].process().terminate();
    let mut process = fleet.routers[0].process.take().expect("router runs");
    let well = wait_for("router stops", async || process.ended()).await;
    assert!(well);
    let again = caller.order(fleet.entry(1), &spent, ORDER).await;
    assert_eq!(again, first);
    let never = caller.order(fleet.entry(1), &unspent, ORDER).await;
    assert_eq!(never.outcome, "not_run", "{never:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

#[ntex::test]
async fn redirect_not_followed() {
    let fleet = TestFleet::start(plan("redirect_not_followed")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let order = r#"{"order":"one","redirect":true}"#;
    let answer = caller.order(fleet.entry(0), &ticket, order).await;
    assert_eq!(
        (answer.status, answer.outcome.as_str()),
        (307, "done"),
        "{answer:?}"
    );
    assert_eq!(fleet.service_record().await.len(), 1);
}
