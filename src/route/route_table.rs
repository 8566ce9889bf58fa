//! The routes, services and API keys of one configuration.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::{AccountId, RouteKey, ServiceId};
use crate::route::{
    CallKind, ColdTerms, ColdTermsFault, EdgeLimits, PriorityRank, RouteProblem, RouteRule,
    TableFault, UnusableItem,
};

/// Version number of a configuration; a larger one is newer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Id of the service.
    pub service: ServiceId,
    /// Maximum number of connections that each upstream accepts from all routers together.
    pub max_connections: u32,
    /// Rate at which an upstream copies prompt tokens from the cache of another, in tokens per
    /// millisecond; 0 if the upstreams can't copy.
    pub copied_tokens_per_ms: f64,
    /// How upstreams behave after their start; `None` if they take calls as always.
    pub cold: Option<ColdTerms>,
}

/// The permissions of an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountGrant {
    /// Client account that owns the key.
    pub account: AccountId,
    /// Rank of the account's calls; `None` if the rank of the route applies.
    pub rank: Option<PriorityRank>,
}

/// One configuration, indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Limits on requests and connections.
    pub limits: EdgeLimits,
    /// Routes by host, then by path prefix.
    hosts: HashMap<String, HashMap<String, Arc<RouteRule>>>,
    services: HashMap<ServiceId, ServiceRule>,
    /// Grants by API key; `None` if calls need no keys.
    grants: Option<HashMap<Bytes, Arc<AccountGrant>>>,
    routes: usize,
    faults: Vec<TableFault>,
    cold_faults: Vec<(ServiceId, ColdTermsFault)>,
    unusable: Vec<UnusableItem>,
}

impl RouteTable {
    /// Returns the route on `host` with the longest prefix that matches `path`.
    ///
    /// Prefixes end with a slash, so only the parts of `path` up to a slash are looked up.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.host_routes(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
    }

    /// Returns the keys of all routes.
    pub fn route_keys(&self) -> impl Iterator<Item = RouteKey> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(|route| route.name.key())
    }

    fn host_routes(&self, host: &str) -> Option<&HashMap<String, Arc<RouteRule>>> {
        if let Some(routes) = self.hosts.get(host) {
            return Some(routes);
        }
        let lower = host.to_ascii_lowercase();
        let name = match lower.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
            _ => lower.as_str(),
        };
        self.hosts.get(name)
    }

    /// Returns the configuration of `service`.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceRule> {
        self.services.get(service)
    }

    /// Returns whether the configuration requires API keys.
    pub fn needs_keys(&self) -> bool {
        self.grants.is_some()
    }

    /// Returns the services of the routes whose streams may be taken up.
    pub fn stream_services(&self) -> HashSet<ServiceId> {
        let splits = self.resumable_routes().flat_map(|route| &route.splits);
        splits.map(|split| split.service.clone()).collect()
    }

    fn resumable_routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.filter(|route| route.kind == CallKind::Stream { resumable: true })
    }

    /// Returns the longest time limit of the routes whose streams may be taken up.
    pub fn stream_time_limit(&self) -> Duration {
        let limits = self.resumable_routes().map(|route| route.time_limit);
        limits.max().unwrap_or_default()
    }

    /// Returns the permissions of `key`, or `None` if the key is unknown.
    pub fn grant(&self, key: &[u8]) -> Option<&Arc<AccountGrant>> {
        self.grants.as_ref()?.get(key)
    }

    /// Returns the likely configuration mistakes, sorted by route name.
    pub fn faults(&self) -> &[TableFault] {
        &self.faults
    }

    /// Returns the services whose cold terms can't be meant and are left out.
    pub fn cold_faults(&self) -> &[(ServiceId, ColdTermsFault)] {
        &self.cold_faults
    }

    /// Returns the items that are left out, in the order of the document.
    pub fn unusable_items(&self) -> &[UnusableItem] {
        &self.unusable
    }

    fn find_faults(&mut self) {
        let Self {
            hosts,
            services,
            faults,
            ..
        } = self;
        for rule in hosts.values().flat_map(HashMap::values) {
            let mut fault = |problem| {
                let route = rule.name.clone();
                faults.push(TableFault { route, problem });
            };
            if !(rule.prefix.starts_with('/') && rule.prefix.ends_with('/')) {
                fault(RouteProblem::BadPrefix(rule.prefix.clone()));
            }
            if rule.time_limit.is_zero() {
                fault(RouteProblem::ZeroTimeLimit);
            }
            if rule.max_attempts == 0 {
                fault(RouteProblem::ZeroMaxAttempts);
            }
            for split in &rule.splits {
                if !services.contains_key(&split.service) {
                    fault(RouteProblem::UnknownService(split.service.clone()));
                }
            }
        }
        faults.sort_by(|left, right| left.route.cmp(&right.route));
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes
    }
}

/// Builds a [`RouteTable`].
#[derive(Debug)]
pub struct TableBuilder {
    table: RouteTable,
}

impl TableBuilder {
    /// Starts a table without routes, services or API keys.
    pub fn new(version: ConfigVersion, limits: EdgeLimits) -> Self {
        Self {
            table: RouteTable {
                version,
                limits,
                hosts: HashMap::new(),
                services: HashMap::new(),
                grants: None,
                routes: 0,
                faults: Vec::new(),
                cold_faults: Vec::new(),
                unusable: Vec::new(),
            },
        }
    }

    /// Adds a route. It replaces an earlier one with the same host and prefix.
    #[must_use]
    pub fn route(mut self, rule: RouteRule) -> Self {
        let routes = self.table.hosts.entry(rule.host.clone()).or_default();
        let name = rule.name.clone();
        match routes.insert(rule.prefix.clone(), Arc::new(rule)) {
            None => self.table.routes += 1,
            Some(replaced) => self.table.faults.push(TableFault {
                route: replaced.name.clone(),
                problem: RouteProblem::Replaced(name),
            }),
        }
        self
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, rule: ServiceRule) -> Self {
        self.table.services.insert(rule.service.clone(), rule);
        self
    }

    /// Records that the cold terms of a service can't be meant.
    #[must_use]
    pub fn cold_fault(mut self, service: ServiceId, fault: ColdTermsFault) -> Self {
        self.table.cold_faults.push((service, fault));
        self
    }

    /// Records that an item is left out.
    #[must_use]
    pub fn unusable(mut self, item: UnusableItem) -> Self {
        self.table.unusable.push(item);
        self
    }

    /// Requires API keys from callers, even if no grant is added.
    #[must_use]
    pub fn require_keys(mut self) -> Self {
        self.table.grants.get_or_insert_default();
        self
    }

    /// Adds the API keys of a client account.
    #[must_use]
    pub fn grant(mut self, grant: AccountGrant, keys: Vec<Bytes>) -> Self {
        let grant = Arc::new(grant);
        let grants = self.table.grants.get_or_insert_default();
        grants.extend(keys.into_iter().map(|key| (key, Arc::clone(&grant))));
        self
    }

    /// Validates the routes and returns the table.
    pub fn build(mut self) -> RouteTable {
        self.table.find_faults();
        self.table
    }
}
