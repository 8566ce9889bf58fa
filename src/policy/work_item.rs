//! A request as the decisions see it.

use std::time::Duration;

use crate::ids::{AccountKey, ChatKey, EngineKey, ModelKey, RequestKey};
use crate::mono::MonoTime;
use crate::rules::WorkRank;

/// A request that waits for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// Who it is.
    pub request: RequestKey,
    /// Who asks.
    pub account: AccountKey,
    /// Weight of the account.
    pub weight: u32,
    /// How urgent it is.
    pub rank: WorkRank,
    /// The model it needs.
    pub model: ModelKey,
    /// The chat it belongs to.
    pub chat: ChatKey,
    /// Estimated tokens, prompt and answer.
    pub cost: u64,
    /// When it came.
    pub accepted: MonoTime,
    /// An engine that has just failed it and is tried last.
    pub avoid: Option<EngineKey>,
    /// The engine that holds its begun answer, the only one that can go on with it.
    pub pinned: Option<EngineKey>,
    /// How often it gave its slot up to more urgent work.
    pub preemptions: u8,
    /// How long it held slots before it gave the last one up.
    pub served: Duration,
}
