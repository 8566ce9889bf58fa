//! What the configuration in force says of requests: which service runs a path, for whom, within
//! which limits.

mod call_kind;
mod edge_limits;
mod route_rule;
mod route_table;
mod table_fault;

pub use call_kind::CallKind;
pub use edge_limits::EdgeLimits;
pub use route_rule::{PriorityRank, RouteRule, ServiceSplit};
pub use route_table::{AccountGrant, ConfigVersion, RouteTable, ServiceRule, TableBuilder};
pub use table_fault::{RouteProblem, TableFault};
