//! Documents of a store in tests: a configuration is the text of its version, and a key `up/ID` is
//! the entry of upstream `ID`, which drains if its text is `draining`. A number after a `@` is the
//! start of the upstream, a text after a `#` its version, which is `v1` otherwise, and a text after a
//! `^` its address, which is its own otherwise. A key `out/NAME` evacuates a data centre.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use hawthornrouter::fleet::store_view::DocumentCodec;
use hawthornrouter::fleet::upstream_entry::{ServingState, UpstreamEntry};
use hawthornrouter::ids::{DataCenterId, check_id};
use hawthornrouter::route::{ConfigVersion, EdgeLimits, RouteTable, TableBuilder};
use hawthornrouter::units::ByteSize;
use xxhash_rust::xxh3::xxh3_64;

pub struct TextCodec;

impl DocumentCodec for TextCodec {
    fn config_key(&self) -> &'static str {
        "config"
    }

    fn decode_config(&self, value: &Bytes) -> anyhow::Result<RouteTable> {
        let version = std::str::from_utf8(value)?.parse()?;
        let limits = EdgeLimits {
            head_bytes: ByteSize(1),
            body_bytes: ByteSize(1),
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        };
        Ok(TableBuilder::new(ConfigVersion(version), limits).build())
    }

    fn decode_entry(&self, key: &str, value: &Bytes) -> Option<anyhow::Result<UpstreamEntry>> {
        let id = key.strip_prefix("up/")?;
        Some(entry(id, value))
    }

    fn decode_evacuation(&self, key: &str) -> Option<anyhow::Result<DataCenterId>> {
        let name = key.strip_prefix("out/")?;
        Some(
            check_id(name)
                .and_then(|()| name.parse())
                .map_err(Into::into),
        )
    }
}

fn entry(id: &str, value: &Bytes) -> anyhow::Result<UpstreamEntry> {
    let text = std::str::from_utf8(value)?;
    let own_address = SocketAddr::from((Ipv4Addr::from_bits(xxh3_64(id.as_bytes()) as u32), 1));
    let (text, address) = match text.split_once('^') {
        Some((text, address)) => (text, address.parse()?),
        None => (text, own_address),
    };
    let (text, version) = text.split_once('#').unwrap_or((text, "v1"));
    let (state, start) = text.split_once('@').unwrap_or((text, ""));
    Ok(UpstreamEntry {
        id: id.parse()?,
        service: "app".parse()?,
        address,
        data_center: "a".parse()?,
        version: version.parse()?,
        slots: 1,
        state: match state {
            "draining" => ServingState::Draining,
            _ => ServingState::Ready,
        },
        warm_up: Duration::ZERO,
        started: start.parse().ok(),
        used_until: None,
    })
}
