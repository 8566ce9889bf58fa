//! The routes, services and keys of one configuration.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;

use crate::ids::{AccountId, ServiceId};
use crate::route::{EdgeLimits, PriorityRank, RouteProblem, RouteRule, TableFault};

/// Number of a configuration; a larger one is newer.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceId,
    /// Connections that each upstream accepts from all callers together.
    pub max_connections: u32,
    /// Tokens that upstreams copy from each other in a millisecond; 0 where they can't.
    pub copied_tokens_per_ms: f64,
}

/// What a key allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountGrant {
    /// The client account that holds the key.
    pub account: AccountId,
    /// Rank of the account's calls, before the rank of the route.
    pub rank: Option<PriorityRank>,
}

/// One configuration, ready for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    /// Number of the configuration.
    pub version: ConfigVersion,
    /// Bounds on requests.
    pub limits: EdgeLimits,
    hosts: HashMap<String, HashMap<String, Arc<RouteRule>>>,
    services: HashMap<ServiceId, ServiceRule>,
    /// Grants by key; none where calls need no keys.
    grants: Option<HashMap<Bytes, Arc<AccountGrant>>>,
    routes: usize,
    faults: Vec<TableFault>,
}

impl RouteTable {
    /// The route of the longest prefix of `path` on `host`.
    ///
    /// Prefixes end with a slash, so only the parts of the path that do are looked up.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let routes = self.host_routes(host)?;
        path.rmatch_indices('/')
            .find_map(|(at, _)| routes.get(&path[..=at]))
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

    /// What the configuration says of `service`.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceRule> {
        self.services.get(service)
    }

    /// Whether callers need keys at all.
    pub fn needs_keys(&self) -> bool {
        self.grants.is_some()
    }

    /// What `key` allows.
    pub fn grant(&self, key: &[u8]) -> Option<&Arc<AccountGrant>> {
        self.grants.as_ref()?.get(key)
    }

    /// Routes that do not do what their author expects, in the order of their names.
    pub fn faults(&self) -> &[TableFault] {
        &self.faults
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
                fault(RouteProblem::NoTime);
            }
            if rule.max_attempts == 0 {
                fault(RouteProblem::NoAttempt);
            }
            for split in &rule.splits {
                if !services.contains_key(&split.service) {
                    fault(RouteProblem::UnknownService(split.service.clone()));
                }
            }
        }
        faults.sort_by(|left, right| left.route.cmp(&right.route));
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes
    }
}

/// Collects the parts of a configuration.
#[derive(Debug)]
pub struct TableBuilder {
    table: RouteTable,
}

impl TableBuilder {
    /// A table without routes and without keys.
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
            },
        }
    }

    /// Adds a route; a later one of the same host and prefix replaces an earlier one.
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

    /// Demands keys of callers, even while no grant is added.
    #[must_use]
    pub fn require_keys(mut self) -> Self {
        self.table.grants.get_or_insert_default();
        self
    }

    /// Adds the keys of a client account.
    #[must_use]
    pub fn grant(mut self, grant: AccountGrant, keys: Vec<Bytes>) -> Self {
        let grant = Arc::new(grant);
        let grants = self.table.grants.get_or_insert_default();
        grants.extend(keys.into_iter().map(|key| (key, Arc::clone(&grant))));
        self
    }

    /// The finished table.
    pub fn build(mut self) -> RouteTable {
        self.table.find_faults();
        self.table
    }
}
