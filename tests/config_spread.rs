//! Guards against routers that miss an accepted configuration or replace it by an older, invalid or
//! conflicting one.

mod fleet;

use fleet::{FleetPlan, TestFleet};
use hawthornrouter::units::TimeSpan;

/// Guards against routers that miss a revision because they can't reach the configuration service:
/// only router 0 reaches it, the others must get the revision from their peers.
#[ntex::test]
async fn through_one_router() {
    let plan = FleetPlan::new("through_one_router")
        .routers(4)
        .only_first_reaches_config();
    let mut fleet = TestFleet::start(plan).await;
    let revision = fleet.publish_next(|_| {}).await;
    for index in 0..4 {
        fleet
            .wait_status(index, "revision 2", |status| status.revision.0 == revision)
            .await;
    }
}

/// Guards against a router that puts an old revision in force: the configuration service falls back
/// to revision 1 while a restarted router has no configuration of its own. The router must get the
/// newest revision from its peer before it serves.
#[ntex::test]
async fn stale_service() {
    let mut fleet = TestFleet::start(FleetPlan::new("stale_service")).await;
    fleet.publish_next(|_| {}).await;
    let revision = fleet.publish_next(|_| {}).await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 3", |status| status.revision.0 == revision)
            .await;
    }
    // The service falls back to revision 1, and a router restarts without any state.
    fleet.publish(&fleet.bundle(1)).await;
    fleet.routers[0].process.take().expect("router runs").kill();
    fleet.start_router(0);
    fleet
        .wait_status(0, "restarted router serves the newest revision", |status| {
            let serving = status.stage == hawthornrouter::board::LifeStage::Serving;
            assert!(
                !serving || status.revision.0 == revision,
                "served an old revision: {status:?}"
            );
            serving
        })
        .await;
    let other = fleet.status(1).await.expect("status");
    assert_eq!(other.revision.0, revision);
    // The next revision is still accepted.
    fleet.revision = revision;
    let revision = fleet.publish_next(|_| {}).await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 4", |status| status.revision.0 == revision)
            .await;
    }
}

/// Guards against a router that keeps an old revision after a pause: it misses a revision while
/// paused, and the configuration service is down when it is resumed. Its peer must send it the
/// revision.
#[ntex::test]
async fn late_waking_router() {
    let mut fleet = TestFleet::start(FleetPlan::new("late_waking_router")).await;
    fleet.routers[0].process().pause();
    let revision = fleet.publish_next(|_| {}).await;
    fleet
        .wait_status(1, "revision 2", |status| status.revision.0 == revision)
        .await;
    // The service is down when the router is resumed, so only its peer can report the revision.
    fleet.control(fleet.config.address, "down", &true).await;
    fleet.routers[0].process().resume();
    fleet
        .wait_status(0, "revision 2", |status| status.revision.0 == revision)
        .await;
    let other = fleet.status(1).await.expect("status");
    assert_eq!(other.revision.0, revision);
}

/// Guards against an invalid revision that replaces a valid one or blocks the next: every router
/// must reject it, report why, keep revision 1 and accept the next valid revision.
#[ntex::test]
async fn invalid_revision() {
    let mut fleet = TestFleet::start(FleetPlan::new("invalid_revision")).await;
    let invalid = fleet
        .publish_next(|bundle| bundle.register.engines[0].slots = 0)
        .await;
    for index in 0..2 {
        let status = fleet
            .wait_status(index, "revision 2 is rejected", |status| {
                status.rejected.is_some()
            })
            .await;
        let rejected = status.rejected.expect("rejected");
        assert_eq!(rejected.revision.0, invalid);
        assert!(rejected.reason.contains("slots"), "{rejected:?}");
        assert_eq!(status.revision.0, 1);
    }
    let revision = fleet.publish_next(|_| {}).await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 3", |status| status.revision.0 == revision)
            .await;
    }
}

/// Guards against two configurations under one revision number: when two operators publish
/// different content under the same number, the first stays in force and the second is rejected.
#[ntex::test]
async fn racing_operators() {
    let mut fleet = TestFleet::start(FleetPlan::new("racing_operators")).await;
    fleet
        .publish_next(|bundle| bundle.rules.tickets_per_account = 7)
        .await;
    for index in 0..2 {
        fleet
            .wait_status(index, "revision 2", |status| status.revision.0 == 2)
            .await;
    }
    // A second operator publishes other content under the same number.
    let mut bundle = fleet.bundle(2);
    bundle.rules.ticket_life = TimeSpan::from_millis(9000);
    fleet.publish(&bundle).await;
    for index in 0..2 {
        let status = fleet
            .wait_status(index, "conflict is reported", |status| {
                status.rejected.is_some()
            })
            .await;
        assert_eq!(status.revision.0, 2);
    }
}
