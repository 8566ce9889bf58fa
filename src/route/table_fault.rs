//! What is wrong with a configuration that can be used all the same.

use std::fmt;

use crate::ids::{RouteId, ServiceId};

/// A route that does not do what its author expects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableFault {
    /// The route.
    pub route: RouteId,
    /// What is wrong with it.
    pub problem: RouteProblem,
}

/// What is wrong with a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteProblem {
    /// Another route of the same host and prefix takes its calls.
    Replaced(RouteId),
    /// No path matches a prefix that does not begin and end with a slash.
    BadPrefix(String),
    /// The configuration says nothing of a service that it names.
    UnknownService(ServiceId),
    /// Its calls end before they begin.
    NoTime,
    /// Its calls are never sent to an upstream.
    NoAttempt,
}

impl fmt::Display for TableFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route {}: ", self.route)?;
        match &self.problem {
            RouteProblem::Replaced(other) => {
                write!(f, "route {other} of the same host and prefix replaces it")
            }
            RouteProblem::BadPrefix(prefix) => {
                write!(f, "prefix: found {prefix:?}, expected a slash at both ends")
            }
            RouteProblem::UnknownService(service) => {
                write!(f, "service: found {service}, expected one that is listed")
            }
            RouteProblem::NoTime => f.write_str("time limit: found 0, expected more"),
            RouteProblem::NoAttempt => f.write_str("attempts: found 0, expected 1 or more"),
        }
    }
}
