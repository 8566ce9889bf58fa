//! Forwards callers' requests to upstreams, in whatever words both speak.

mod call_wait;
mod choice_note;
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
