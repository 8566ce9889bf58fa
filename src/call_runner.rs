//! Sends ticketed calls to their services, each of them at most once.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc::UnboundedReceiver;

use crate::board::Board;
use crate::client::{
    CONNECT_TIMEOUT, ClientError, ClientLimits, ClientRequest, ClientResponse, HttpClient,
};
use crate::control::{CallPlan, ControlEvent, ControlHandle};
use crate::policy::placement::{WeightedChoice, rendezvous_order};
use crate::policy::ticket_ledger::{CallOutcome, CallRecord};

/// Largest response of a service that the ledger stores, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Runs the calls from `plans` concurrently until the process stops.
pub async fn run_calls(
    board: Arc<Board>,
    control: ControlHandle,
    mut plans: UnboundedReceiver<CallPlan>,
) {
    while let Some(plan) = plans.recv().await {
        let board = Arc::clone(&board);
        let control = control.clone();
        ntex::rt::spawn(async move {
            let serial = plan.serial;
            let record = run_call(&board, plan).await;
            if record.outcome == CallOutcome::Unknown {
                spdlog::warn!("call-unknown", kv: { serial, status = record.status });
            }
            control.send(ControlEvent::CallSettled { serial, record });
        });
    }
}

/// Tries the instances of a service in turn until a connection to one succeeds.
///
/// Once a byte of the request has been written, the call may have run: another instance must not
/// get it, and its outcome is `unknown` unless the service responds.
async fn run_call(board: &Board, plan: CallPlan) -> CallRecord {
    let not_run = |reason| CallRecord::from_static(CallOutcome::NotRun, 503, reason);
    let Some(config) = board.config() else {
        return not_run("no configuration");
    };
    let Some(service) = config.services.get(&plan.service) else {
        return not_run("service is not in the register");
    };
    let time_limit = config.bundle.rules.service_answer.0;
    let client = HttpClient::new(ClientLimits {
        connect_timeout: CONNECT_TIMEOUT,
        response_timeout: time_limit,
        body_bytes: MAX_RESPONSE_BYTES,
    });
    for address in instance_order(plan.serial, &service.addresses) {
        match send(&client, address, &service.id.to_string(), &plan).await {
            Ok(response) => return read_response(response).await,
            Err(error) if error.not_run() => {
                spdlog::warn!("service-unreachable", kv: {
                    step = "connect", peer: = address, error: = error
                });
            }
            Err(error) => {
                spdlog::warn!("service-call-lost", kv: {
                    step = "send", peer: = address, error: = error
                });
                return CallRecord::from_static(
                    CallOutcome::Unknown,
                    504,
                    "the service did not answer",
                );
            }
        }
    }
    not_run("no instance of the service can be reached")
}

async fn send(
    client: &HttpClient,
    address: SocketAddr,
    service: &str,
    plan: &CallPlan,
) -> Result<ClientResponse, ClientError> {
    let call = ClientRequest::post(address, format!("/v1/services/{service}"));
    client.send(call.json_text(plan.body.clone())).await
}

async fn read_response(response: ClientResponse) -> CallRecord {
    let status = response.status().as_u16();
    match response.bytes().await {
        Ok(body) => CallRecord {
            outcome: CallOutcome::Done,
            status,
            body,
        },
        // The call ran, because the service sent a response head, but its result is lost.
        Err(error) => {
            spdlog::warn!("service-answer-cut", kv: { status, error: = error });
            CallRecord::from_static(CallOutcome::Unknown, 504, "the service's answer was cut")
        }
    }
}

/// Orders the instances of a service by rendezvous hashing, so that calls spread over them.
fn instance_order(serial: u64, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
    let choices: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(index, _)| WeightedChoice {
            key: crate::ids::ServiceKey(index as u64),
            weight: 1.0,
        })
        .collect();
    let order = rendezvous_order(serial, &choices);
    order
        .into_iter()
        .filter_map(|key| addresses.get(key.0 as usize).copied())
        .collect()
}
