//! The data of a request that scheduling decisions depend on.

use std::time::Duration;

use crate::ids::{AccountKey, ChatKey, EngineKey, ModelKey, RequestKey};
use crate::mono::MonoTime;
use crate::rules::WorkRank;

/// A request that waits for an engine or runs on one.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// Identifies the request within this router.
    pub request: RequestKey,
    /// The client account that sent it.
    pub account: AccountKey,
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Urgency class.
    pub rank: WorkRank,
    /// The model that it is for.
    pub model: ModelKey,
    /// The chat that it belongs to, which determines its preferred engine.
    pub chat: ChatKey,
    /// Estimated number of tokens of the prompt and the response.
    pub cost: u64,
    /// When the router received it.
    pub accepted: MonoTime,
    /// The engine that has just failed the request and is tried last.
    pub avoid: Option<EngineKey>,
    /// The engine that has begun its response, the only one that can resume it.
    pub pinned: Option<EngineKey>,
    /// Number of times that it was preempted by more urgent work.
    pub preemptions: u8,
    /// Total time in slots before the last preemption.
    pub served: Duration,
}

impl WorkItem {
    /// Returns whether an engine has already failed the request.
    pub fn is_retry(&self) -> bool {
        self.avoid.is_some()
    }
}
