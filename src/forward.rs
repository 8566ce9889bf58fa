//! Forwards HTTP requests of callers to upstreams. An [`EdgeDialect`] defines the headers and paths
//! that callers and upstreams use.
//!
//! [`EdgeDialect`]: crate::dialect::EdgeDialect

mod attempt_record;
pub mod body_budget;
mod body_parts;
mod call_relay;
pub mod caller_connections;
pub mod choice_explanation;
mod choice_record;
mod chunk_source;
mod cold_calls;
pub mod connection_headers;
mod connection_pool;
mod evacuated_upstreams;
pub mod event_batch;
pub mod event_reader;
pub mod framing_limit;
pub mod framing_scan;
mod front_call;
pub mod front_handler;
pub mod front_server;
pub mod http_connection;
pub mod memory_room;
mod relay_body;
pub mod relay_progress;
mod service_load;
mod spliced_head;
pub mod traffic_state;
mod upstream_gates;
mod upstream_response;
mod wait_clock;
mod wait_limits;
