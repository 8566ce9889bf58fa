//! Arrivals by rank, account and returning chat.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::fleet_policy::RouterIndex;
use crate::bench::setup::{FleetSetup, PLAIN_PROMPT, SIM_MODEL, answer_tokens};
use crate::ids::{AccountKey, ChatKey, EngineKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::placement::rendezvous_first;
use crate::policy::slot_owner_map::SlotOwnerMap;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

/// Longest context of a chat, in tokens.
const MAX_CONTEXT: u32 = 4000;

/// Tokens that a caller adds to a chat with each request.
const NEW_TOKENS: u32 = 100;

/// A stretch of time with steady arrivals of one rank.
#[derive(Clone, Copy, Debug)]
pub struct RankLoad {
    /// The rank.
    pub rank: WorkRank,
    /// Requests a second.
    pub per_second: f64,
    /// First second.
    pub from: f64,
    /// Second after the last.
    pub to: f64,
}

/// Chats that return.
#[derive(Clone, Copy, Debug)]
pub struct ChatMix {
    /// Chats that may return.
    pub chats: usize,
    /// Skew of their popularity; zero makes them equal.
    pub skew: f64,
    /// Whether a prompt grows with each return.
    pub grows: bool,
}

/// A client account and how much it asks.
#[derive(Clone, Copy, Debug)]
pub struct AccountLoad {
    /// The account.
    pub account: AccountKey,
    /// Its part of the requests, against the others'.
    pub weight: f64,
}

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct SimRequest {
    /// The request as schedulers see it.
    pub item: WorkItem,
    /// The router that it comes to.
    pub router: RouterIndex,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer.
    pub answer: u32,
}

/// What a workload is made from.
#[derive(Clone, Debug)]
pub struct WorkloadPlan {
    /// Arrivals.
    pub loads: Vec<RankLoad>,
    /// Chats.
    pub mix: ChatMix,
    /// Accounts.
    pub accounts: Vec<AccountLoad>,
    /// Routers that callers are told of.
    pub routers: usize,
    /// Engines that chats have as their homes.
    pub engines: Vec<EngineKey>,
}

impl WorkloadPlan {
    /// Arrivals over ten equal accounts and chats that hardly return.
    pub fn uniform(loads: Vec<RankLoad>, setup: &FleetSetup) -> Self {
        let accounts = (0..10).map(|number| AccountLoad {
            account: AccountKey(number),
            weight: 1.0,
        });
        Self {
            loads,
            mix: ChatMix {
                chats: 1_000_000,
                skew: 0.0,
                grows: false,
            },
            accounts: accounts.collect(),
            routers: setup.routers,
            engines: setup.pool().iter().map(|engine| engine.key).collect(),
        }
    }

    /// Draws every request, in the order of arrival.
    pub fn draw(&self, seed: u64) -> Vec<SimRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = self.arrivals(&mut rng);
        arrivals.sort_by_key(|arrival| arrival.at);
        let chats = ChatPicker::new(self.mix);
        let mut contexts = vec![0_u32; if self.mix.grows { self.mix.chats } else { 0 }];
        let routers: Vec<VmKey> = (0..self.routers).map(|i| RouterIndex(i).vm()).collect();
        let stewards = SlotOwnerMap::new(self.engines.iter().copied(), &routers);
        let mut requests = Vec::with_capacity(arrivals.len());
        for (index, arrival) in arrivals.into_iter().enumerate() {
            let number = chats.pick(&mut rng);
            let chat = ChatKey(xxhash_rust::xxh3::xxh3_64(&(number as u64).to_le_bytes()));
            let answer = answer_tokens(arrival.rank);
            let prompt = match contexts.get_mut(number) {
                Some(context) => grow(context, answer),
                None => PLAIN_PROMPT,
            };
            let router = home_router(chat, &self.engines, &stewards, &routers);
            requests.push(SimRequest {
                item: WorkItem {
                    request: RequestKey(1 + index as u64),
                    account: self.pick_account(&mut rng),
                    weight: 1,
                    rank: arrival.rank,
                    model: SIM_MODEL,
                    chat,
                    cost: u64::from(prompt / 20 + answer),
                    accepted: arrival.at,
                    avoid: None,
                    pinned: None,
                    preemptions: 0,
                    served: Duration::ZERO,
                },
                router,
                prompt,
                answer,
            });
        }
        requests
    }

    fn arrivals(&self, rng: &mut ChaCha8Rng) -> Vec<RankArrival> {
        let mut arrivals = Vec::new();
        for load in &self.loads {
            let mut at = load.from;
            loop {
                let unit: f64 = rng.random();
                at += -(1.0 - unit).ln() / load.per_second;
                if at >= load.to {
                    break;
                }
                arrivals.push(RankArrival {
                    at: MonoTime(Duration::from_secs_f64(at)),
                    rank: load.rank,
                });
            }
        }
        arrivals
    }

    fn pick_account(&self, rng: &mut ChaCha8Rng) -> AccountKey {
        let total: f64 = self.accounts.iter().map(|account| account.weight).sum();
        let mut left = rng.random::<f64>() * total;
        for account in &self.accounts {
            left -= account.weight;
            if left <= 0.0 {
                return account.account;
            }
        }
        self.accounts[0].account
    }
}

#[derive(Clone, Copy, Debug)]
struct RankArrival {
    at: MonoTime,
    rank: WorkRank,
}

/// The prompt of a chat's next request; a chat whose context is full starts anew.
fn grow(context: &mut u32, answer: u32) -> u32 {
    if *context + NEW_TOKENS + answer > MAX_CONTEXT {
        *context = 0;
    }
    let prompt = *context + NEW_TOKENS;
    *context = prompt + answer;
    prompt
}

/// The router that a locator names for a chat: the steward of the chat's home engine.
fn home_router(
    chat: ChatKey,
    engines: &[EngineKey],
    stewards: &SlotOwnerMap,
    routers: &[VmKey],
) -> RouterIndex {
    let home = rendezvous_first(chat.0, engines.iter().copied());
    let steward = home.and_then(|home| stewards.slot_owner_of(home));
    let position = routers.iter().position(|&router| Some(router) == steward);
    RouterIndex(position.unwrap_or(0))
}

/// Draws chats by popularity.
struct ChatPicker {
    /// Summed weights; empty when all chats are equally popular.
    sums: Vec<f64>,
    chats: usize,
}

impl ChatPicker {
    fn new(mix: ChatMix) -> Self {
        let mut sums = Vec::new();
        if mix.skew > 0.0 {
            let mut sum = 0.0;
            for rank in 1..=mix.chats {
                sum += (rank as f64).powf(-mix.skew);
                sums.push(sum);
            }
        }
        Self {
            sums,
            chats: mix.chats,
        }
    }

    fn pick(&self, rng: &mut ChaCha8Rng) -> usize {
        let Some(total) = self.sums.last() else {
            return rng.random_range(0..self.chats);
        };
        let at = rng.random::<f64>() * total;
        self.sums
            .partition_point(|&sum| sum < at)
            .min(self.chats - 1)
    }
}
