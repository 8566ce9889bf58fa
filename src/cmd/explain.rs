//! `hawthornctl explain ADMIN --token FILE --model M --chat C`: shows the engines that a chat may be
//! routed to.

use std::net::SocketAddr;
use std::path::Path;

use crate::admin::ExplainBody;
use crate::cmd::admin_call;
use crate::error::RouterResult;
use crate::ids::{ChatId, ModelId};

/// Prints the engines of a chat in order of preference, each with its state, its requests in
/// progress and its slot owner.
pub fn run(admin: SocketAddr, token: &Path, model: &ModelId, chat: &ChatId) -> RouterResult<()> {
    let path = format!("/v1/explain?model={model}&chat={chat}");
    let body: ExplainBody = admin_call::get_json(admin, token, &path)?;
    println!("{:<20} {:<18} {:>7} STEWARD", "ENGINE", "STATE", "RUNNING");
    for route in body.routes {
        let slot_owner = route
            .steward
            .map_or_else(|| "-".to_owned(), |vm| vm.to_string());
        let engine = route.engine.as_str();
        println!(
            "{engine:<20} {:<18} {:>7} {slot_owner}",
            route.reason, route.running
        );
    }
    Ok(())
}
