//! Size, rules and relay of a test fleet.

use hawthornrouter::rules::{RuleBook, default_rules};
use hawthornrouter::units::TimeSpan;

/// What a [`super::TestFleet`] starts; by default two routers, three engines and no relay.
#[derive(Clone)]
pub struct FleetPlan {
    /// Name of the directory for logs and settings.
    pub name: String,
    pub routers: usize,
    pub engines: usize,
    /// Slots of each engine.
    pub slots: u32,
    pub event_ms: u64,
    pub rules: RuleBook,
    /// Longest time for which a drain waits for requests in progress.
    pub drain_limit: TimeSpan,
    /// The link that passes through the relay; without one, no relay is started.
    pub relay: Option<RelayedLink>,
    /// Whether all routers but the first have an unreachable configuration service.
    pub only_first_reaches_config: bool,
}

/// A network link that passes through the relay.
#[derive(Clone, Copy, PartialEq)]
pub enum RelayedLink {
    /// From routers to the first engine.
    Engine,
    /// From the first router to the configuration service.
    Config,
    /// From the other routers to the first one.
    Peer,
}

impl FleetPlan {
    pub fn new(name: &str) -> Self {
        let mut rules = default_rules();
        rules.locator_answer = TimeSpan::from_millis(300);
        rules.service_answer = TimeSpan::from_millis(3000);
        Self {
            name: name.to_owned(),
            routers: 2,
            engines: 3,
            slots: 8,
            event_ms: 1,
            rules,
            drain_limit: TimeSpan::from_millis(60_000),
            relay: None,
            only_first_reaches_config: false,
        }
    }

    pub fn only_first_reaches_config(mut self) -> Self {
        self.only_first_reaches_config = true;
        self
    }

    pub fn routers(mut self, routers: usize) -> Self {
        self.routers = routers;
        self
    }

    pub fn engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    pub fn drain_limit(mut self, limit: TimeSpan) -> Self {
        self.drain_limit = limit;
        self
    }

    pub fn relay(mut self, link: RelayedLink) -> Self {
        self.relay = Some(link);
        self
    }

    pub fn rules(mut self, change: impl FnOnce(&mut RuleBook)) -> Self {
        change(&mut self.rules);
        self
    }
}
