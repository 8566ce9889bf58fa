//! The decisions of a router: where a request goes, when, and whether at all.
//!
//! Nothing here touches a socket, a clock or a thread. Time, randomness and messages are
//! arguments, so that the same code runs in a router, in tests and on the bench.

pub mod answer_check;
pub mod engine_pool;
pub mod fair_queue;
pub mod load_bound;
pub mod placement;
pub mod rank_shares;
pub mod rate_meter;
pub mod refusal;
pub mod request_scheduler;
pub mod retry_budget;
pub mod slot_steward;
pub mod ticket;
pub mod ticket_ledger;
pub mod work_item;
