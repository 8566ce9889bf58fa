//! Stand-ins of the users' platform for tests: its store, engines that follow a script, a proxy
//! that injects faults, and a client that sends raw bytes.

pub mod datagram_link;
pub mod fault_proxy;
pub mod plain_client;
pub mod platform_store;
pub mod scripted_engine;
pub mod wire_text;

pub use wire_text::{WireHead, read_message};
