//! Chooses the routers that a locate response names.
//!
//! A caller takes at most [`MAX_ADDRESSES`] addresses from a response and draws one of them for
//! each new connection. In a larger fleet, the responses of all data centres together must name
//! every router about equally often, or the routers that are left out stay idle.

use std::cmp::Reverse;
use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::DataCenterTag;

/// Maximum number of addresses that a caller takes from a response.
pub const MAX_ADDRESSES: usize = 64;

/// A router that serves callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouterPlace {
    pub address: Ipv4Addr,
    pub data_center: DataCenterTag,
}

/// Returns the addresses for a caller in `data_center`: all routers if they fit, otherwise those of
/// the caller's data centre first and then others in the rendezvous order of that data centre.
///
/// The order depends on nothing else, because callers close their connections to routers that a
/// later response does not name.
pub fn choose_routers(
    routers: &[RouterPlace],
    data_center: Option<DataCenterTag>,
) -> Vec<Ipv4Addr> {
    let mut routers = routers.to_vec();
    if routers.len() > MAX_ADDRESSES {
        let seed = data_center.map_or(u64::MAX, |tag| tag.0.into());
        routers.sort_by_cached_key(|router| {
            let is_local = Some(router.data_center) == data_center;
            let score = xxh3_64_with_seed(&router.address.octets(), seed);
            (Reverse(is_local), score)
        });
        routers.truncate(MAX_ADDRESSES);
    }
    routers.into_iter().map(|router| router.address).collect()
}
