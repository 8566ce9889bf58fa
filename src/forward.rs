//! Forwards callers' requests to upstreams, in whatever words both speak.

mod choice_record;
pub mod connection_headers;
mod connection_pool;
pub mod event_reader;
mod front_call;
pub mod front_handler;
pub mod front_server;
pub mod http_connection;
mod relay_body;
pub mod traffic_state;
mod upstream_response;
mod wait_limits;
