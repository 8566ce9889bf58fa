//! What the attempts of a call have used up at a router that passes the call on.
//!
//! The account travels with the call, so that the limits of one call hold over all routers that
//! handle it. It is sealed with the sender's incarnation, which routers tell each other and callers
//! never see, and holds for one call only.

use std::net::Ipv4Addr;

use blake3::Hash;

use crate::ids::{IncarnationId, UpstreamStart};

/// Upstreams in one account, more than the attempts of a call reach.
const MAX_TRIED: usize = 16;

/// Length of the longest account as text, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Purpose of the key that is derived from an incarnation.
const KEY_CONTEXT: &str = "hawthornrouter 2026-12 account of a passed call";

/// Why an account is ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AccountFault {
    /// It can't be read.
    Malformed,
    /// Its sender is not known to be a router.
    UnknownSender,
    /// It is of another call, or not by its sender.
    Forged,
}

impl AccountFault {
    /// Returns the name of the fault in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::UnknownSender => "unknown-sender",
            Self::Forged => "forged",
        }
    }
}

/// The call that an account is of.
#[derive(Clone, Copy, Debug)]
pub struct AccountSubject<'a> {
    pub request_id: &'a [u8],
    /// Hash of the whole work of the call.
    pub work: u64,
}

/// What the attempts of a call have used up.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SpentAttempts {
    /// Upstreams of the service that received the call.
    pub arrivals: u32,
    /// Times that the call was written to an upstream, whoever received it.
    pub sends: u32,
    /// Connections that were tried.
    pub connects: u32,
    /// Upstreams that received the call and did not run it.
    pub tried: Vec<UpstreamStart>,
}

impl SpentAttempts {
    /// Returns the account as text, sealed by its sender.
    pub fn seal(
        &self,
        sender: Ipv4Addr,
        incarnation: IncarnationId,
        subject: AccountSubject<'_>,
    ) -> String {
        let tried = self.tried.iter().take(MAX_TRIED).map(ToString::to_string);
        let tried: Vec<String> = tried.collect();
        let account = format!(
            "{sender};{};{};{};{}",
            self.arrivals,
            self.sends,
            self.connects,
            tried.join(",")
        );
        let seal = seal_of(&account, incarnation, subject);
        format!("{account};{seal}")
    }

    /// Reads an account of this call; `incarnation_of` returns that of a known router.
    pub fn open<F>(
        text: &[u8],
        incarnation_of: F,
        subject: AccountSubject<'_>,
    ) -> Result<Self, AccountFault>
    where
        F: FnOnce(Ipv4Addr) -> Option<IncarnationId>,
    {
        let text = Some(text).filter(|text| text.len() <= MAX_TEXT_BYTES);
        let text = text.and_then(|text| std::str::from_utf8(text).ok());
        let (account, seal) = text
            .and_then(|text| text.rsplit_once(';'))
            .ok_or(AccountFault::Malformed)?;
        let seal = Hash::from_hex(seal).map_err(|_| AccountFault::Malformed)?;
        let (sender, spent) = parse_account(account).ok_or(AccountFault::Malformed)?;
        let incarnation = incarnation_of(sender).ok_or(AccountFault::UnknownSender)?;
        // Hashes are compared in constant time.
        if seal == seal_of(account, incarnation, subject) {
            Ok(spent)
        } else {
            Err(AccountFault::Forged)
        }
    }
}

fn parse_account(account: &str) -> Option<(Ipv4Addr, SpentAttempts)> {
    let mut fields = account.split(';');
    let sender = fields.next()?.parse().ok()?;
    let mut number = || fields.next()?.parse().ok();
    let (arrivals, sends, connects) = (number()?, number()?, number()?);
    let starts = fields.next()?;
    let tried = starts.split(',').filter(|start| !start.is_empty());
    let tried: Option<Vec<UpstreamStart>> = tried
        .map(|start| u64::from_str_radix(start, 16).ok().map(UpstreamStart))
        .collect();
    // Further fields are of later builds, and sealed with the others.
    let tried = tried.filter(|tried| tried.len() <= MAX_TRIED)?;
    let spent = SpentAttempts {
        arrivals,
        sends,
        connects,
        tried,
    };
    Some((sender, spent))
}

fn seal_of(account: &str, incarnation: IncarnationId, subject: AccountSubject<'_>) -> Hash {
    let key = blake3::derive_key(KEY_CONTEXT, &incarnation.0.to_le_bytes());
    let mut hasher = blake3::Hasher::new_keyed(&key);
    hasher.update(&subject.work.to_le_bytes());
    // The length keeps the id and the account apart.
    hasher.update(&(subject.request_id.len() as u64).to_le_bytes());
    hasher.update(subject.request_id);
    hasher.update(account.as_bytes());
    hasher.finalize()
}
