//! The routing part of the active configuration: the service for each path, the client accounts
//! that may call it, and the request limits.

mod call_kind;
mod cold_terms;
mod edge_limits;
mod route_rule;
mod route_table;
mod table_fault;
mod unusable_item;

pub use call_kind::CallKind;
pub use cold_terms::{ColdTerms, ColdTermsFault};
pub use edge_limits::EdgeLimits;
pub use route_rule::{PriorityRank, RouteRule, ServiceSplit};
pub use route_table::{AccountGrant, ConfigVersion, RouteTable, ServiceRule, TableBuilder};
pub use table_fault::{RouteProblem, TableFault};
pub use unusable_item::{ItemKind, UnusableItem};
