//! Mistakes in a configuration that don't prevent its use.

use std::fmt;

use crate::ids::{RouteId, ServiceId};

/// A likely mistake in the configuration of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableFault {
    /// Name of the route.
    pub route: RouteId,
    /// Mistake that was found.
    pub problem: RouteProblem,
}

/// The kinds of mistakes in a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteProblem {
    /// Another route, with this name, has the same host and prefix and receives the calls.
    Replaced(RouteId),
    /// The prefix matches no path, since it does not begin and end with a slash.
    BadPrefix(String),
    /// The route names a service that is not configured.
    UnknownService(ServiceId),
    /// The time limit is zero, so every call times out at once.
    ZeroTimeLimit,
    /// The maximum number of attempts is zero. One upstream may receive a call all the same.
    ZeroMaxAttempts,
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
            RouteProblem::ZeroTimeLimit => f.write_str("time limit: found 0, expected more"),
            RouteProblem::ZeroMaxAttempts => f.write_str("attempts: found 0, expected 1 or more"),
        }
    }
}
