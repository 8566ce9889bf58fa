//! Guards against a call with a ticket that runs more than once, and against a definite outcome
//! from a router that can't know it: such a router must report `unknown`.

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

async fn wait_until_service_called(fleet: &TestFleet) {
    wait_for("service is called", async || {
        (!fleet.service_record().await.is_empty()).then_some(())
    })
    .await;
}

/// Guards against a second run of an order that the caller repeats over both routers while its
/// first call is still running.
#[ntex::test]
async fn doubled_order() {
    let fleet = TestFleet::start(FleetPlan::new("doubled_order")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let release = async {
        wait_until_service_called(&fleet).await;
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

/// Guards against an order that runs without a ticket, or with the ticket of another account.
#[ntex::test]
async fn no_ticket() {
    let fleet = TestFleet::start(plan("no_ticket")).await;
    let entry = fleet.entry(0);
    let response = fleet.caller().order(entry, "", ORDER).await;
    assert_eq!(response.status, 400, "{response:?}");
    let other = fleet::caller::TestCaller::new(fleet.client.clone(), fleet::OTHER_TOKEN);
    let ticket = other.ticket(entry).await;
    let foreign = fleet.caller().order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(foreign.outcome, "unknown", "{foreign:?}");
    assert_eq!(foreign.status, 403);
    assert!(fleet.service_record().await.is_empty());
}

/// Guards against a second run by another router while the owner of the ticket is stopped. The
/// outcome stays `unknown` after the other router has taken over the slots, until the owner runs
/// again.
#[ntex::test]
async fn frozen_owner() {
    let fleet = TestFleet::start(plan("frozen_owner")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    fleet.routers[0].process().pause();
    let frozen = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(frozen.outcome, "unknown", "{frozen:?}");
    fleet
        .wait_status(1, "router 1 owns the slots of every engine", |status| {
            status.upstreams.iter().all(|engine| engine.steward)
        })
        .await;
    let again = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    fleet.routers[0].process().resume();
    let settled = wait_for("owner responds", async || {
        let response = caller.order(fleet.entry(1), &ticket, ORDER).await;
        (response.outcome != "unknown").then_some(response)
    })
    .await;
    assert_eq!(settled.outcome, "done", "{settled:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

/// Guards against a run after the owner was killed, and its ledger lost, before the ticket was
/// spent: no other router and no later incarnation on the same VM may run the order.
#[ntex::test]
async fn owner_killed_before() {
    let mut fleet = TestFleet::start(plan("owner_killed_before")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    let response = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(response.outcome, "unknown", "{response:?}");
    // The router restarts on the same VM with an empty ledger. Its new incarnation does not own the
    // old ticket.
    fleet.start_router(0);
    fleet.wait_serving().await;
    for index in 0..2 {
        let response = caller.order(fleet.entry(index), &ticket, ORDER).await;
        assert_eq!(response.outcome, "unknown", "{response:?}");
    }
    assert!(fleet.service_record().await.is_empty());
}

/// Guards against a second run after the owner was killed while the service was handling the call.
#[ntex::test]
async fn owner_killed_during() {
    let mut fleet = TestFleet::start(FleetPlan::new("owner_killed_during")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let entry = fleet.entry(1);
    let (task_caller, task_ticket) = (caller.clone(), ticket.clone());
    let relayed =
        ntex::rt::spawn(async move { task_caller.order(entry, &task_ticket, HELD_ORDER).await });
    wait_until_service_called(&fleet).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    let response = relayed.await.expect("caller");
    assert_eq!(response.outcome, "unknown", "{response:?}");
    fleet.control(fleet.service.address, "release", &()).await;
    let again = caller.order(fleet.entry(1), &ticket, HELD_ORDER).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

/// Guards against a second run after the owner was killed with the finished call in its ledger.
#[ntex::test]
async fn owner_killed_after() {
    let mut fleet = TestFleet::start(plan("owner_killed_after")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let response = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(response.outcome, "done", "{response:?}");
    fleet.routers[0].process.take().expect("router runs").kill();
    let again = caller.order(fleet.entry(1), &ticket, ORDER).await;
    assert_eq!(again.outcome, "unknown", "{again:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

/// Guards against a second run when the link between the routers fails: only the owner runs the
/// order, and the other router reports its result once the link is back.
#[ntex::test]
async fn peers_cut_apart() {
    let plan = plan("peers_cut_apart").relay(fleet::RelayedLink::Peer);
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
    let reconnected = wait_for("peers reconnect", async || {
        let response = caller.order(fleet.entry(1), &ticket, ORDER).await;
        (response.outcome != "unknown").then_some(response)
    })
    .await;
    assert_eq!(reconnected, direct);
    assert_eq!(fleet.service_record().await.len(), 1);
}

/// Guards against a second run after a new configuration shortens the ticket life and reorders the
/// VMs.
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

/// Guards against a loss of the ledger in a graceful stop: a peer must return the result of a spent
/// ticket, and `not_run` for an unspent one.
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
    let process = fleet.routers[0].process.take().expect("router runs");
    let clean_exit = wait_for("router stops", async || process.exit_success()).await;
    assert!(clean_exit);
    let again = caller.order(fleet.entry(1), &spent, ORDER).await;
    assert_eq!(again, first);
    let never = caller.order(fleet.entry(1), &unspent, ORDER).await;
    assert_eq!(never.outcome, "not_run", "{never:?}");
    assert_eq!(fleet.service_record().await.len(), 1);
}

/// Guards against a second run by a router that follows the redirect in a service's response.
#[ntex::test]
async fn redirect_not_followed() {
    let fleet = TestFleet::start(plan("redirect_not_followed")).await;
    let caller = fleet.caller();
    let ticket = caller.ticket(fleet.entry(0)).await;
    let order = r#"{"order":"one","redirect":true}"#;
    let response = caller.order(fleet.entry(0), &ticket, order).await;
    assert_eq!(
        (response.status, response.outcome.as_str()),
        (307, "done"),
        "{response:?}"
    );
    assert_eq!(fleet.service_record().await.len(), 1);
}
