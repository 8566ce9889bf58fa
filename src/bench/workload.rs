//! Randomly generated workloads: arrivals by rank, client account and chat.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bench::fleet_policy::RouterIndex;
use crate::bench::setup::{FleetSetup, NEW_CHAT_PROMPT_TOKENS, SIM_MODEL, output_tokens};
use crate::ids::{AccountKey, ChatKey, EngineKey, RequestKey, VmKey};
use crate::mono::MonoTime;
use crate::policy::placement::rendezvous_first;
use crate::policy::slot_owner_map::SlotOwnerMap;
use crate::policy::work_item::WorkItem;
use crate::rules::WorkRank;

/// Maximum length of a chat's context.
const MAX_CONTEXT_TOKENS: u32 = 4000;

/// Prompt tokens that each request adds to a growing chat.
const INPUT_TOKENS_PER_REQUEST: u32 = 100;

/// Poisson arrivals of one rank at a constant rate over a period.
#[derive(Clone, Copy, Debug)]
pub struct RankLoad {
    /// Rank of the requests.
    pub rank: WorkRank,
    /// Mean arrival rate, in requests per second.
    pub per_second: f64,
    /// Start of the period, in seconds.
    pub from: f64,
    /// End of the period (exclusive), in seconds.
    pub to: f64,
}

/// Distribution of requests over chats.
#[derive(Clone, Copy, Debug)]
pub struct ChatMix {
    /// Number of chats to draw from.
    pub chats: usize,
    /// Exponent of the Zipf distribution of chat popularity; zero makes all chats equally popular.
    pub skew: f64,
    /// Whether the prompt of a chat grows with each of its requests.
    pub grows: bool,
}

/// A client account and its share of the requests.
#[derive(Clone, Copy, Debug)]
pub struct AccountLoad {
    pub account: AccountKey,
    /// Share of the requests, relative to the other accounts.
    pub weight: f64,
}

/// One request of a workload.
#[derive(Clone, Debug)]
pub struct SimRequest {
    /// The request as it is offered to the scheduler.
    pub item: WorkItem,
    /// Router at which the request arrives.
    pub router: RouterIndex,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Tokens to generate.
    pub output: u32,
}

/// Parameters from which a workload is generated.
#[derive(Clone, Debug)]
pub struct WorkloadPlan {
    /// Arrival rates; periods may overlap.
    pub loads: Vec<RankLoad>,
    /// Distribution of requests over chats.
    pub mix: ChatMix,
    /// Client accounts that send the requests.
    pub accounts: Vec<AccountLoad>,
    /// Number of routers to which requests are sent.
    pub routers: usize,
    /// Engines among which each chat has a preferred one.
    pub engines: Vec<EngineKey>,
}

impl WorkloadPlan {
    /// Creates a plan with ten equal accounts and so many chats that few receive a second request.
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

    /// Generates all requests in order of arrival. The same seed gives the same requests.
    pub fn draw(&self, seed: u64) -> Vec<SimRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = self.arrivals(&mut rng);
        arrivals.sort_by_key(|arrival| arrival.at);
        let chats = ChatPicker::new(self.mix);
        let mut contexts = vec![0_u32; if self.mix.grows { self.mix.chats } else { 0 }];
        let routers: Vec<VmKey> = (0..self.routers).map(|i| RouterIndex(i).vm()).collect();
        let slot_owners = SlotOwnerMap::new(self.engines.iter().copied(), &routers);
        let mut requests = Vec::with_capacity(arrivals.len());
        for (index, arrival) in arrivals.into_iter().enumerate() {
            let number = chats.pick(&mut rng);
            let chat = ChatKey(xxhash_rust::xxh3::xxh3_64(&(number as u64).to_le_bytes()));
            let output = output_tokens(arrival.rank);
            let prompt = match contexts.get_mut(number) {
                Some(context) => next_prompt(context, output),
                None => NEW_CHAT_PROMPT_TOKENS,
            };
            let router = preferred_router(chat, &self.engines, &slot_owners, &routers);
            requests.push(SimRequest {
                item: WorkItem {
                    request: RequestKey(1 + index as u64),
                    account: self.pick_account(&mut rng),
                    weight: 1,
                    rank: arrival.rank,
                    model: SIM_MODEL,
                    chat,
                    cost: u64::from(prompt / 20 + output),
                    accepted: arrival.at,
                    avoid: None,
                    pinned: None,
                    preemptions: 0,
                    served: Duration::ZERO,
                },
                router,
                prompt,
                output,
            });
        }
        requests
    }

    fn arrivals(&self, rng: &mut ChaCha8Rng) -> Vec<RankArrival> {
        let mut arrivals = Vec::new();
        for load in &self.loads {
            let mut at = load.from;
            loop {
                let uniform: f64 = rng.random();
                at += -(1.0 - uniform).ln() / load.per_second;
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

/// Returns the prompt length of a chat's next request and updates its context. A chat whose
/// context would exceed the limit restarts with an empty one.
fn next_prompt(context: &mut u32, output: u32) -> u32 {
    if *context + INPUT_TOKENS_PER_REQUEST + output > MAX_CONTEXT_TOKENS {
        *context = 0;
    }
    let prompt = *context + INPUT_TOKENS_PER_REQUEST;
    *context = prompt + output;
    prompt
}

/// Returns the router that a locator names for a chat: the slot owner of its preferred engine.
fn preferred_router(
    chat: ChatKey,
    engines: &[EngineKey],
    slot_owners: &SlotOwnerMap,
    routers: &[VmKey],
) -> RouterIndex {
    let preferred = rendezvous_first(chat.0, engines.iter().copied());
    let owner = preferred.and_then(|engine| slot_owners.slot_owner_of(engine));
    let position = routers.iter().position(|&router| Some(router) == owner);
    RouterIndex(position.unwrap_or(0))
}

/// Draws chat numbers, weighted by popularity.
struct ChatPicker {
    /// Cumulative popularity by chat; empty if all chats are equally popular.
    cumulative_weights: Vec<f64>,
    chats: usize,
}

impl ChatPicker {
    fn new(mix: ChatMix) -> Self {
        let mut cumulative_weights = Vec::new();
        if mix.skew > 0.0 {
            let mut sum = 0.0;
            for rank in 1..=mix.chats {
                sum += (rank as f64).powf(-mix.skew);
                cumulative_weights.push(sum);
            }
        }
        Self {
            cumulative_weights,
            chats: mix.chats,
        }
    }

    fn pick(&self, rng: &mut ChaCha8Rng) -> usize {
        let Some(total) = self.cumulative_weights.last() else {
            return rng.random_range(0..self.chats);
        };
        let at = rng.random::<f64>() * total;
        self.cumulative_weights
            .partition_point(|&sum| sum < at)
            .min(self.chats - 1)
    }
}
