//! `hawthornctl drain ADMIN --token FILE`: has a router finish its work and stop.

use std::net::SocketAddr;
use std::path::Path;

use crate::cmd::admin_call::{self, AdminMethod};
use crate::error::RouterResult;

/// Orders the drain; the router tells how far it is in its status.
pub fn run(admin: SocketAddr, token: &Path) -> RouterResult<()> {
    admin_call::call(admin, token, AdminMethod::Post, "/v1/drain")?;
    println!("draining");
    Ok(())
}
