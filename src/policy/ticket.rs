//! Tickets: the right to run one call that may not be repeated.

use std::fmt;
use std::str::FromStr;

use data_encoding::BASE64URL_NOPAD;
use prost::Message;

use crate::error::ValueError;
use crate::ids::{AccountKey, IncarnationId, ServiceKey, VmKey};

/// Bytes of a ticket's keyed hash.
const TAG_BYTES: usize = 32;

/// Longest ticket text that is parsed.
const MAX_TICKET_TEXT: usize = 512;

/// What a ticket says.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct TicketBody {
    /// Hash of the owner's VM.
    #[prost(fixed64, tag = "1")]
    pub owner: u64,
    /// The run of the router that minted it; only that run can spend it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Hash of the account it was minted for.
    #[prost(fixed64, tag = "3")]
    pub account: u64,
    /// Hash of the service it was minted for.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// Number among the tickets of the owner.
    #[prost(uint64, tag = "5")]
    pub serial: u64,
    /// End of its life on the owner's clock, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub expires_ms: u64,
}

impl TicketBody {
    /// The VM of the owner.
    pub fn owner(&self) -> VmKey {
        VmKey(self.owner)
    }

    /// The run of the owner.
    pub fn incarnation(&self) -> IncarnationId {
        IncarnationId(self.incarnation)
    }

    /// The account it is for.
    pub fn account(&self) -> AccountKey {
        AccountKey(self.account)
    }

    /// The service it is for.
    pub fn service(&self) -> ServiceKey {
        ServiceKey(self.service)
    }
}

/// A ticket with its keyed hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTicket {
    /// What it says.
    pub body: TicketBody,
    tag: [u8; TAG_BYTES],
}

impl CallTicket {
    /// A ticket sealed under `key`.
    pub fn seal(body: TicketBody, key: &[u8; 32]) -> Self {
        let tag = *blake3::keyed_hash(key, &body.encode_to_vec()).as_bytes();
        Self { body, tag }
    }

    /// Whether this ticket was sealed under `key`.
    pub fn is_sealed(&self, key: &[u8; 32]) -> bool {
        // blake3's hashes compare in constant time.
        blake3::keyed_hash(key, &self.body.encode_to_vec()) == blake3::Hash::from(self.tag)
    }
}

impl fmt::Display for CallTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = self.tag.to_vec();
        bytes.extend(self.body.encode_to_vec());
        f.write_str(&BASE64URL_NOPAD.encode(&bytes))
    }
}

impl FromStr for CallTicket {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let bad = || ValueError::new(text, "a ticket that a router minted");
        if text.len() > MAX_TICKET_TEXT {
            return Err(bad());
        }
        let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).map_err(|_| bad())?;
        let (tag, body) = bytes.split_first_chunk::<TAG_BYTES>().ok_or_else(bad)?;
        let body = TicketBody::decode(body).map_err(|_| bad())?;
        Ok(Self { body, tag: *tag })
    }
}
