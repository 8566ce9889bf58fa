//! An engine's cache of prompt prefixes, with a limited size and LRU eviction.

use std::collections::{BTreeMap, HashMap};

use crate::ids::ChatKey;

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u32,
    /// Value of the use counter when the prefix was last inserted.
    last_use: u64,
}

/// The cached prefixes by chat.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// Capacity in tokens.
    capacity: u64,
    /// Sum of the cached tokens.
    size: u64,
    prefixes: HashMap<ChatKey, CachedPrefix>,
    /// Chats by last use, the least recently used first.
    chats_by_use: BTreeMap<u64, ChatKey>,
    use_count: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of cached tokens of a chat.
    pub fn tokens(&self, chat: ChatKey) -> u32 {
        self.prefixes.get(&chat).map_or(0, |prefix| prefix.tokens)
    }

    /// Caches the first `tokens` tokens of a chat and evicts the least recently used chats beyond
    /// the capacity.
    pub fn insert(&mut self, chat: ChatKey, tokens: u32) {
        self.remove(chat);
        self.use_count += 1;
        self.size += u64::from(tokens);
        self.chats_by_use.insert(self.use_count, chat);
        let last_use = self.use_count;
        self.prefixes
            .insert(chat, CachedPrefix { tokens, last_use });
        while self.size > self.capacity {
            let Some((_, oldest)) = self.chats_by_use.pop_first() else {
                return;
            };
            if let Some(prefix) = self.prefixes.remove(&oldest) {
                self.size -= u64::from(prefix.tokens);
            }
        }
    }

    fn remove(&mut self, chat: ChatKey) {
        if let Some(prefix) = self.prefixes.remove(&chat) {
            self.chats_by_use.remove(&prefix.last_use);
            self.size -= u64::from(prefix.tokens);
        }
    }
}
