//! An engine's cache of prompt prefixes, limited in size, least recently used out first.

use std::collections::{BTreeMap, HashMap};

use crate::ids::ChatKey;

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    used: u64,
}

/// Prefixes by chat.
#[derive(Debug, Default)]
pub struct PrefixCache {
    limit: u64,
    held: u64,
    prefixes: HashMap<ChatKey, CachedPrefix>,
    by_use: BTreeMap<u64, ChatKey>,
    uses: u64,
}

impl PrefixCache {
    /// An empty cache of `limit` tokens.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Cached tokens of a chat.
    pub fn tokens(&self, chat: ChatKey) -> u32 {
        self.prefixes.get(&chat).map_or(0, |prefix| prefix.tokens)
    }

    /// Keeps the first `tokens` of a chat, dropping what was not used for longest.
    pub fn insert(&mut self, chat: ChatKey, tokens: u32) {
        self.drop_chat(chat);
        self.uses += 1;
        self.held += u64::from(tokens);
        self.by_use.insert(self.uses, chat);
        let used = self.uses;
        self.prefixes.insert(chat, CachedPrefix { tokens, used });
        while self.held > self.limit {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(prefix) = self.prefixes.remove(&oldest) {
                self.held -= u64::from(prefix.tokens);
            }
        }
    }

    fn drop_chat(&mut self, chat: ChatKey) {
        if let Some(prefix) = self.prefixes.remove(&chat) {
            self.by_use.remove(&prefix.used);
            self.held -= u64::from(prefix.tokens);
        }
    }
}
