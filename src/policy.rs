//! The decisions of a router: whether a request is admitted, when it is served and by which
//! upstream.
//!
//! Nothing here uses a socket, a clock or a thread. Time, randomness and messages are arguments,
//! so that the same code runs in a router, in tests and in the benchmarks.

pub mod boot_refusal;
pub mod call_attempts;
pub mod call_exclusions;
pub mod call_times;
pub mod cold_upstreams;
pub mod data_center_rounds;
pub mod engine_pool;
pub mod fair_queue;
pub mod gone_starts;
pub mod known_routers;
pub mod latest_loads;
pub mod leaving_upstreams;
pub mod load_bound;
pub mod locate_choice;
pub mod memory_budget;
pub mod own_call_rate;
pub mod part_lists;
pub mod placement;
pub mod prompt_load;
pub mod rank_shares;
pub mod rate_limits;
pub mod recent_accounts;
pub mod refusal;
pub mod request_scheduler;
pub mod response_check;
pub mod response_head_check;
pub mod retry_budget;
pub mod retry_window;
pub mod service_time;
pub mod slot_counts;
pub mod slot_owner_map;
pub mod slot_requests;
pub mod slot_waiters;
pub mod sound_work;
pub mod spent_attempts;
pub mod stop_admission;
pub mod store_checks;
pub mod stream_versions;
pub mod suspect_history;
pub mod suspect_reports;
pub mod suspect_work;
pub mod ticket;
pub mod ticket_ledger;
pub mod token_bucket;
pub mod uplink_state;
pub mod upstream_choice;
pub mod upstream_gate;
pub mod upstream_health;
pub mod upstream_stats;
pub mod upstream_waits;
pub mod work_item;
