//! A fleet of routers between many callers, whose chats span several requests, and the engines and
//! services that process the requests.
//!
//! Higher layers call lower ones, never the reverse. `policy` and `fleet` make the decisions and use
//! no socket, clock or thread. `control` runs them on one thread and publishes snapshots on the
//! `board`. `entry`, `upstream`, `peer`, `feeds` and `admin` translate between the wire formats and
//! the types of the decision code.
//!
//! `forward_node` starts another kind of router, which forwards calls for a platform whose headers
//! and paths a `dialect` defines. It consists of `forward`, `forward_control` and `gossip`.

pub mod admin;
pub mod bench;
pub mod board;
pub mod bundle;
pub mod call_runner;
pub mod client;
pub mod cmd;
pub mod config;
pub mod control;
pub mod dialect;
pub mod entry;
pub mod error;
pub mod feeds;
pub mod fleet;
pub mod forward;
pub mod forward_board;
pub mod forward_control;
pub mod forward_node;
pub mod forward_settings;
pub mod gossip;
pub mod ids;
pub mod locator;
pub mod log;
pub mod log_rate_limiter;
pub mod mono;
pub mod peer;
pub mod policy;
pub mod prometheus_metrics;
pub mod register;
pub mod route;
pub mod router;
pub mod rules;
pub mod settings;
pub mod statsd_metrics;
pub mod store_source;
pub mod units;
pub mod upstream;
pub mod wire;
mod wire_convert;
