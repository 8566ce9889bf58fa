//! A request as the decisions see it.

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
}
