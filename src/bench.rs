//! Experiments on virtual time over the decision code that routers run.
//!
//! Engines, callers and the network are small models; queues, slots, placement and refusals are
//! the product's own. Each scenario runs plain baselines beside the product in the same call.

pub mod affinity_sim;
pub mod baseline_policy;
pub mod capacity;
pub mod doubled_order;
pub mod engine_model;
pub mod event_queue;
pub mod fleet_policy;
pub mod fleet_sim;
pub mod flood;
pub mod hawthorn_policy;
pub mod late_loads;
pub mod load_bound;
pub mod oracle_policy;
pub mod prefix_cache;
pub mod ranks;
pub mod report;
pub mod reuse;
pub mod run_record;
pub mod scenario;
pub mod setup;
pub mod workload;
