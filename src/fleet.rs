//! Last known state of the fleet as one router sees it: configuration, store documents, peers and
//! upstreams, each with the age of its source.

pub mod config_state;
pub mod member_table;
pub mod pause_detector;
pub mod peer_view;
pub mod store_view;
pub mod upstream_entry;
pub mod upstream_view;
