//! Last known state of the fleet as one router sees it (configuration, store documents, peers and
//! upstreams), and the detection of pauses, after which that state may be outdated.

mod cached_entry;
pub mod config_state;
pub mod evacuation_plan;
pub mod evacuation_table;
pub mod fetch_plan;
pub mod member_facts;
pub mod member_table;
pub mod pause_detector;
pub mod peer_view;
pub mod renewal_outage;
pub mod software_version;
pub mod store_role;
pub mod store_stamp;
pub mod store_view;
pub mod upstream_entry;
pub mod upstream_view;
pub mod version_history;
