//! Forwards HTTP requests of callers to upstreams. An [`EdgeDialect`] defines the headers and paths
//! that callers and upstreams use.
//!
//! [`EdgeDialect`]: crate::dialect::EdgeDialect

mod choice_record;
pub mod connection_headers;
pub mod event_reader;
mod front_call;
pub mod front_handler;
pub mod front_server;
mod link_pool;
mod relay_body;
pub mod traffic_state;
mod upstream_answer;
pub mod upstream_link;
mod wait_limits;
