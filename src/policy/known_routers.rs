//! The routers that were up at some time in the last minutes.
//!
//! Shares that are bounds for the whole fleet follow this list: a router that was cut off must not
//! take the shares of those that it can't hear, and they still use theirs.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::mono::MonoTime;
use crate::policy::locate_choice::RouterPlace;

/// Time after which a router that was not up since is forgotten: longer than any partition that
/// still has calls on both sides.
const ROUTER_MEMORY: Duration = Duration::from_mins(10);

/// Number of routers in memory, several times the largest fleet.
const MAX_ROUTERS: usize = 2048;

/// Time that a router needs to hear of all others after it has heard of the first one: the slowest of
/// 420 records arrives within some rounds of heartbeats.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What a router can tell about its place in the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetContact {
    /// Whether the router knows the other routers, so that it can determine its shares.
    pub is_settled: bool,
    /// Whether other routers should be up and none is heard.
    pub is_isolated: bool,
}

/// The routers that were up lately, and since when this router knows them.
#[derive(Clone, Debug, Default)]
pub struct KnownRouters {
    routers: BTreeMap<Ipv4Addr, (RouterPlace, MonoTime)>,
    /// When another router was first heard.
    first_heard: Option<MonoTime>,
}

impl KnownRouters {
    /// Records the routers that are up, `own` among them.
    pub fn record(&mut self, own: Ipv4Addr, live: &[RouterPlace], now: MonoTime) {
        for place in live {
            if self.routers.len() < MAX_ROUTERS || self.routers.contains_key(&place.address) {
                self.routers.insert(place.address, (*place, now));
            }
        }
        if live.iter().any(|place| place.address != own) {
            self.first_heard.get_or_insert(now);
        }
        self.routers
            .retain(|_, (_, seen)| now.since(*seen) <= ROUTER_MEMORY);
    }

    /// The routers in memory.
    pub fn places(&self) -> Vec<RouterPlace> {
        self.routers.values().map(|(place, _)| *place).collect()
    }

    /// Returns what this router can tell about its place. `fleet_size` is an upper estimate of the
    /// number of routers.
    pub fn contact(&self, own: Ipv4Addr, fleet_size: usize, now: MonoTime) -> FleetContact {
        let is_alone = fleet_size <= 1 && self.routers.keys().all(|&address| address == own);
        let is_heard = self
            .routers
            .values()
            .any(|(place, seen)| place.address != own && *seen == now);
        let has_settled = |at| now.since(at) >= SETTLE_TIME;
        FleetContact {
            is_settled: is_alone || self.first_heard.is_some_and(has_settled),
            is_isolated: !is_alone && !is_heard,
        }
    }
}
