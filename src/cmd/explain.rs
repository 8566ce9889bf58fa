//! `hawthornctl explain ADMIN --token FILE --model M --chat C`: where a chat would go, and why.

use std::net::SocketAddr;
use std::path::Path;

use crate::admin::ExplainBody;
use crate::cmd::admin_call;
use crate::error::RouterResult;
use crate::ids::{ChatId, ModelId};

/// Prints the engines of a chat in order of preference.
pub fn run(admin: SocketAddr, token: &Path, model: &ModelId, chat: &ChatId) -> RouterResult<()> {
    let path = format!("/v1/explain?model={model}&chat={chat}");
    let body: ExplainBody = admin_call::read(admin, token, &path)?;
    println!("{:<20} {:<18} {:>7} STEWARD", "ENGINE", "STATE", "RUNNING");
    for route in body.routes {
        let steward = route
            .steward
            .map_or_else(|| "-".to_owned(), |vm| vm.to_string());
        let engine = route.engine.as_str();
        println!(
            "{engine:<20} {:<18} {:>7} {steward}",
            route.reason, route.running
        );
    }
    Ok(())
}
