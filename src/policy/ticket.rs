//! Tickets. A ticket authorizes one run of a call that is not idempotent.

use std::fmt;
use std::str::FromStr;

use data_encoding::BASE64URL_NOPAD;
use prost::Message;

use crate::error::ValueError;
use crate::ids::{AccountKey, IncarnationId, ServiceKey, VmKey};

/// Length of a ticket's keyed hash.
const TAG_BYTES: usize = 32;

/// Longest ticket that is parsed.
const MAX_TICKET_BYTES: usize = 512;

/// The signed fields of a ticket.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct TicketBody {
    /// Hash of the id of the VM whose router minted the ticket.
    #[prost(fixed64, tag = "1")]
    pub owner: u64,
    /// Incarnation of the router that minted the ticket. Only this incarnation can spend it.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Hash of the account that the ticket was minted for.
    #[prost(fixed64, tag = "3")]
    pub account: u64,
    /// Hash of the service that the ticket was minted for.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// Sequence number among the tickets of this incarnation.
    #[prost(uint64, tag = "5")]
    pub serial: u64,
    /// Expiry time on the owner's monotonic clock, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub expires_ms: u64,
}

impl TicketBody {
    pub fn owner(&self) -> VmKey {
        VmKey(self.owner)
    }

    pub fn incarnation(&self) -> IncarnationId {
        IncarnationId(self.incarnation)
    }

    pub fn account(&self) -> AccountKey {
        AccountKey(self.account)
    }

    pub fn service(&self) -> ServiceKey {
        ServiceKey(self.service)
    }
}

/// A ticket with its keyed hash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTicket {
    pub body: TicketBody,
    tag: [u8; TAG_BYTES],
}

impl CallTicket {
    /// Signs `body` with `key`.
    pub fn sign(body: TicketBody, key: &[u8; 32]) -> Self {
        let tag = *blake3::keyed_hash(key, &body.encode_to_vec()).as_bytes();
        Self { body, tag }
    }

    /// Returns whether this ticket was signed with `key`.
    pub fn is_signed_with(&self, key: &[u8; 32]) -> bool {
        // `blake3::Hash` compares in constant time.
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
        if text.len() > MAX_TICKET_BYTES {
            return Err(bad());
        }
        let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).map_err(|_| bad())?;
        let (tag, body) = bytes.split_first_chunk::<TAG_BYTES>().ok_or_else(bad)?;
        let body = TicketBody::decode(body).map_err(|_| bad())?;
        Ok(Self { body, tag: *tag })
    }
}
