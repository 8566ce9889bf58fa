//! `hawthornctl drain ADMIN --token FILE`: drains a router, which finishes its work and stops.

use std::net::SocketAddr;
use std::path::Path;

use crate::cmd::admin_call::{self, AdminMethod};
use crate::error::RouterResult;

/// Starts the drain and returns at once. The progress is shown by `hawthornctl status`.
pub fn run(admin: SocketAddr, token: &Path) -> RouterResult<()> {
    admin_call::call(admin, token, AdminMethod::Post, "/v1/drain")?;
    println!("draining");
    Ok(())
}
