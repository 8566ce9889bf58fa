//! Callers take at most 64 addresses from a locate response. Guards against a larger fleet in which
//! some routers are named to nobody and the others carry their load.

use std::collections::{BTreeMap, HashSet};
use std::net::Ipv4Addr;

use hawthornrouter::ids::DataCenterTag;
use hawthornrouter::policy::locate_choice::{MAX_ADDRESSES, RouterPlace, choose_routers};

const DATA_CENTERS: u16 = 5;

fn fleet(routers: u32) -> Vec<RouterPlace> {
    (0..routers)
        .map(|index| {
            let data_center = index as u16 % DATA_CENTERS;
            RouterPlace {
                address: Ipv4Addr::new(10, data_center as u8, (index / 256) as u8, index as u8),
                data_center: DataCenterTag(data_center),
            }
        })
        .collect()
}

/// The expected load of each router, relative to the mean, if every data centre has as many callers
/// and each caller draws one address of its response.
fn relative_loads(routers: &[RouterPlace]) -> Vec<f64> {
    let mut loads: BTreeMap<Ipv4Addr, f64> = routers.iter().map(|r| (r.address, 0.0)).collect();
    for data_center in 0..DATA_CENTERS {
        let named = choose_routers(routers, Some(DataCenterTag(data_center)));
        for address in &named {
            *loads.get_mut(address).expect("a router of the fleet") += 1.0 / named.len() as f64;
        }
    }
    let mean = f64::from(DATA_CENTERS) / routers.len() as f64;
    loads.into_values().map(|load| load / mean).collect()
}

#[test]
fn names_every_router() {
    for routers in [4, 27, 64, 77, 100, 300] {
        let loads = relative_loads(&fleet(routers));
        let least = loads.iter().copied().fold(f64::MAX, f64::min);
        let most = loads.iter().copied().fold(0.0, f64::max);
        assert!(least > 0.3, "{routers} routers: least load {least:.2}");
        assert!(most < 2.0, "{routers} routers: highest load {most:.2}");
    }
}

/// A caller without a known data centre gets addresses, too, and no response has more than callers
/// take or names a router twice.
#[test]
fn fits_one_response() {
    let routers = fleet(420);
    for data_center in [None, Some(DataCenterTag(2)), Some(DataCenterTag(77))] {
        let named = choose_routers(&routers, data_center);
        let distinct: HashSet<Ipv4Addr> = named.iter().copied().collect();
        assert_eq!(named.len(), MAX_ADDRESSES);
        assert_eq!(distinct.len(), MAX_ADDRESSES);
    }
}

/// Callers close connections to routers that the next response leaves out, so a router more or less
/// must change few addresses.
#[test]
fn stable_under_churn() {
    let routers = fleet(300);
    let data_center = Some(DataCenterTag(1));
    let before: HashSet<Ipv4Addr> = choose_routers(&routers, data_center).into_iter().collect();
    let rest: Vec<RouterPlace> = routers.into_iter().skip(2).collect();
    let after: HashSet<Ipv4Addr> = choose_routers(&rest, data_center).into_iter().collect();
    assert!(before.difference(&after).count() <= 2);
}

/// The callers of a data centre whose routers are all lost get those of the others.
#[test]
fn lost_data_center() {
    let lost = DataCenterTag(3);
    let mut routers = fleet(300);
    routers.retain(|router| router.data_center != lost);
    assert_eq!(choose_routers(&routers, Some(lost)).len(), MAX_ADDRESSES);
}
