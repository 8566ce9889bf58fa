//! A router fleet between many callers with returning chats and the engines and services that
//! answer them.
//!
//! Calls go down only: `policy` and `fleet` decide and touch no socket, clock or thread;
//! `control` runs them on one thread and publishes snapshots on the `board`; `entry`,
//! `upstream`, `peer`, `feeds` and `admin` translate between the wire and the decisions.

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
