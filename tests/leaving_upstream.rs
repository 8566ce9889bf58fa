//! Guards against new requests to an upstream that is about to leave, whether the VM list, the
//! upstream's own load report or a peer is the first source that reports it.

mod fleet;

use std::time::Duration;

use fleet::caller::ChatRequest;
use fleet::{FleetPlan, TestFleet, wait_for};
use hawthornrouter::board::UpstreamStatus;
use hawthornrouter::control::ListedVm;
use hawthornrouter::fleet::upstream_view::{EngineReport, UpstreamState, UpstreamView};
use hawthornrouter::ids::EngineKey;
use hawthornrouter::mono::MonoTime;
use serde_json::json;

fn is_engine_0_in(engine: &UpstreamStatus, state: UpstreamState) -> bool {
    engine.engine.as_str() == "engine-0" && engine.state == state
}

/// Guards against new requests on a leaving engine and against streams that are cut off when it is
/// reported as leaving. Starts a stream on engine 0 that stalls until it is released, calls
/// `report_leaving`, and checks that new requests go to other engines while the stream completes.
async fn check_leaving(
    fleet: &TestFleet,
    report_leaving: impl AsyncFnOnce(),
    state: UpstreamState,
) {
    let caller = fleet.caller();
    let mut stream = None;
    for number in 0.. {
        let caller = caller.clone();
        let entry = fleet.entry(0);
        let request = ChatRequest::new(&format!("held-{number}"), 5).fault(json!({"hold_at": 2}));
        let before = fleet.engine_records().await.len();
        let running = ntex::rt::spawn(async move { caller.chat(entry, &request).await });
        wait_for("request runs", async || {
            (fleet.engine_records().await.len() > before).then_some(())
        })
        .await;
        if !fleet.engine_record(0).await.is_empty() {
            stream = Some(running);
            break;
        }
    }
    report_leaving().await;
    for index in 0..fleet.routers.len() {
        fleet
            .wait_status(index, "engine is leaving", |status| {
                status
                    .upstreams
                    .iter()
                    .any(|engine| is_engine_0_in(engine, state))
            })
            .await;
    }
    let before = fleet.engine_record(0).await.len();
    for number in 0..20 {
        let request = ChatRequest::new(&format!("new-{number}"), 2);
        let response = caller.chat(fleet.entry(number % 2), &request).await;
        assert!(response.is_complete(2), "{response:?}");
    }
    assert_eq!(fleet.engine_record(0).await.len(), before);
    fleet
        .control(fleet.engines[0].address, "release", &())
        .await;
    let response = stream.expect("request on engine 0").await.expect("caller");
    assert!(response.is_complete(5), "{response:?}");
}

#[ntex::test]
async fn by_list() {
    let fleet = TestFleet::start(FleetPlan::new("leaving_by_list")).await;
    let report_leaving = async || {
        let vm = ListedVm {
            address: fleet.engines[0].address,
            leaving: true,
        };
        fleet.control(fleet.vm_list.address, "vms", &[vm]).await;
    };
    check_leaving(&fleet, report_leaving, UpstreamState::LeavingByList).await;
}

#[ntex::test]
async fn by_report() {
    let fleet = TestFleet::start(FleetPlan::new("leaving_by_report")).await;
    let report_leaving = async || {
        fleet
            .control(fleet.engines[0].address, "leaving", &())
            .await;
    };
    check_leaving(&fleet, report_leaving, UpstreamState::LeavingByReport).await;
}

/// Guards against an older report that overrides a newer one received from a peer.
#[test]
fn by_peer() {
    let engine = EngineKey(7);
    let at = |millis| MonoTime(Duration::from_millis(millis));
    let report = |reported_at, leaving| EngineReport {
        reported_at: at(reported_at),
        leaving,
        running: 0,
    };
    let mut view = UpstreamView::default();
    view.merge_report(engine, report(1000, false));
    assert_eq!(view.state(at(1000), engine), UpstreamState::Open);
    // A peer's digest carries a newer report of the engine.
    view.merge_report(engine, report(1400, true));
    assert_eq!(view.state(at(1500), engine), UpstreamState::LeavingByReport);
    // An older report that arrives late does not reopen the engine.
    view.merge_report(engine, report(1200, false));
    assert_eq!(view.state(at(1600), engine), UpstreamState::LeavingByReport);
}
