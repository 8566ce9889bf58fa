//! Identifiers. An ID is text, for example a name in the register; a key is its 64-bit hash, which
//! routing and scheduling use in place of the text. Names that come from other systems may be any text;
//! the register allows plain ones only.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use http::HeaderValue;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::error::ValueError;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 64;

macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident, $key:ident, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the hash of this identifier.
            pub fn key(&self) -> $key {
                $key(xxh3_64(self.0.as_bytes()))
            }

            /// Whether a header can carry this identifier unchanged.
            pub fn is_header_text(&self) -> bool {
                is_header_text(&self.0)
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
                $check(text).map(|()| Self(Arc::from(text)))
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
    /// Identifies a VM, which runs a router and a locator.
    VmId, VmKey, any_text
);
named_id!(
    /// Identifies a data centre.
    DataCenterId, DataCenterKey, any_text
);
named_id!(
    /// Identifies a model engine.
    EngineId, EngineKey, check_id
);
named_id!(
    /// Identifies a service other than a model engine.
    ServiceId, ServiceKey, any_text
);
named_id!(
    /// Identifies a model that engines serve.
    ModelId, ModelKey, check_id
);
named_id!(
    /// Identifies a client account.
    AccountId, AccountKey, any_text
);
named_id!(
    /// Identifies a route of the configuration.
    RouteId, RouteKey, any_text
);
named_id!(
    /// Identifies one run of an upstream, which is an engine or a process of a service.
    UpstreamId, UpstreamKey, any_text
);
named_id!(
    /// Identifies a chat, whose requests are preferably routed to the same engine.
    ChatId, ChatKey, check_id
);
named_id!(
    /// Identifies a request of a caller. Engines send this identifier back with every event.
    RequestId, RequestKey, check_id
);

/// Identifies one start of an upstream: a hash of its identifier and of the time of the start.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UpstreamStart(pub u64);

impl fmt::Display for UpstreamStart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one software version of one service, see
/// [`SoftwareVersion::tag`](crate::fleet::software_version::SoftwareVersion::tag).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VersionTag(pub u64);

impl fmt::Display for VersionTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a stream over all calls that take it up, see
/// [`CallHead::stream_tag`](crate::dialect::CallHead::stream_tag).
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamTag(pub u64);

impl StreamTag {
    /// Marks the tags of cached parts of prompts, which are recorded like streams.
    const PART_BIT: u64 = 1 << 63;

    /// Creates the tag of a stream with this hash.
    pub fn of_stream(hash: u64) -> Self {
        Self(hash & !Self::PART_BIT)
    }

    /// Creates the tag under which the version of the upstreams is recorded that have cached a part of a
    /// prompt. The last part of a prompt belongs to one request, so it tells where that request ran.
    pub fn of_part(part: PartTag) -> Self {
        Self(xxh3_64(&part.0.to_le_bytes()) | Self::PART_BIT)
    }

    /// Whether this is the tag of a cached part.
    pub fn is_part(self) -> bool {
        self.0 & Self::PART_BIT != 0
    }
}

impl fmt::Display for StreamTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names from documents of other systems may have any characters.
#[expect(clippy::unnecessary_wraps, reason = "has the type of `check_id`")]
fn any_text(_: &str) -> Result<(), ValueError> {
    Ok(())
}

/// Whether a header can carry `text` unchanged: readers drop blanks at the ends of a value, and control
/// characters end it or are refused.
fn is_header_text(text: &str) -> bool {
    let is_blank = |c| c == ' ' || c == '\t';
    let has_blank_end = text.starts_with(is_blank) || text.ends_with(is_blank);
    !has_blank_end && HeaderValue::from_bytes(text.as_bytes()).is_ok()
}

/// Validates an identifier in a document of this project, which has 1 to 64 plain characters.
pub fn check_id(text: &str) -> Result<(), ValueError> {
    let is_allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    if text.is_empty() || text.len() > MAX_ID_BYTES || !text.bytes().all(is_allowed) {
        return Err(ValueError::new(
            text,
            "1 to 64 letters, digits, '-', '_', '.' or ':'",
        ));
    }
    Ok(())
}

/// Identifies one run of a process; chosen at random when it starts.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A shortened hash of a data centre's identifier, which takes two bytes in a message. Two data
/// centres with the same tag are treated as one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DataCenterTag(pub u16);

impl From<&DataCenterId> for DataCenterTag {
    fn from(id: &DataCenterId) -> Self {
        const TAG_BITS: u32 = 14;
        Self((id.key().0 & ((1 << TAG_BITS) - 1)) as u16)
    }
}

impl fmt::Display for DataCenterTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04x}", self.0)
    }
}

/// Identifies a part of prompts, which many requests may share.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartTag(pub u64);

impl fmt::Display for PartTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartTag {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ValueError::new(text, "1 to 16 hexadecimal digits"))
    }
}

/// Identifies the whole work of a call, see [`crate::dialect::CallHead::work_tag`]. A call that is
/// sent again, by its caller or by a router, has the same tag.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallTag(pub u64);

impl fmt::Display for CallTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for CallTag {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ValueError::new(text, "1 to 16 hexadecimal digits"))
    }
}

/// Identifies work that may crash upstreams.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspectTag {
    /// One whole call, each time that it is sent.
    Call(CallTag),
    /// All calls whose prompts have this part.
    Part(PartTag),
}

impl SuspectTag {
    /// The kind of the suspect, for log lines.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Call(_) => "call",
            Self::Part(_) => "part",
        }
    }

    /// The hash without the kind.
    pub fn hash(self) -> u64 {
        match self {
            Self::Call(tag) => tag.0,
            Self::Part(tag) => tag.0,
        }
    }
}

impl fmt::Display for SuspectTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.hash())
    }
}

/// The revision of a configuration; a higher one is newer.
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
