//! Identifiers. Names are text from the register; keys are their 64-bit hashes, which the
//! decisions use.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::ValueError;

/// Longest identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident, $key:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The text of this identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// The hash that stands for this identifier in decisions.
            pub fn key(&self) -> $key {
                $key(xxh3_64(self.0.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ValueError;

            fn from_str(text: &str) -> Result<Self, ValueError> {
                check_id(text).map(|()| Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ValueError;

            fn try_from(text: String) -> Result<Self, ValueError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        #[doc = concat!("The 64-bit hash of a [`", stringify!($name), "`].")]
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        pub struct $key(pub u64);

        impl fmt::Display for $key {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

named_id!(
    /// A VM of the fleet that runs a router and a locator.
    VmId, VmKey
);
named_id!(
    /// A data centre.
    DataCenterId, DataCenterKey
);
named_id!(
    /// A model engine.
    EngineId, EngineKey
);
named_id!(
    /// A plain service beside the engines.
    ServiceId, ServiceKey
);
named_id!(
    /// A model that engines serve.
    ModelId, ModelKey
);
named_id!(
    /// A client account.
    AccountId, AccountKey
);
named_id!(
    /// A route of the configuration.
    RouteId, RouteKey
);
named_id!(
    /// An engine or a plain service's process: one run of an upstream.
    UpstreamId, UpstreamKey
);
named_id!(
    /// A chat that may return.
    ChatId, ChatKey
);
named_id!(
    /// One request of a caller; engines repeat it on every event.
    RequestId, RequestKey
);

fn check_id(text: &str) -> Result<(), ValueError> {
    let plain =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(plain) {
        return Err(ValueError::new(
            text,
            "1 to 64 letters, digits, '-', '_', '.' or ':'",
        ));
    }
    Ok(())
}

/// One run of a process, drawn at random when it starts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The number of a configuration; a larger one is newer.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RevisionNumber {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        text.parse()
            .map(Self)
            .map_err(|_| ValueError::new(text, "a whole number"))
    }
}
