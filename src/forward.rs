//! Forwards callers' requests to upstreams, in whatever words both speak.

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
