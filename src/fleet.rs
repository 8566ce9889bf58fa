//! What a router believes of the rest of the fleet, and how fresh that is.

pub mod config_state;
pub mod member_table;
pub mod pause_detector;
pub mod peer_view;
pub mod store_view;
pub mod upstream_entry;
pub mod upstream_view;
