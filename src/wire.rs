//! Messages between routers.

use bytes::Bytes;
use prost::{Message, Oneof};

/// Longest frame between routers, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// What it says.
    #[prost(
        oneof = "PeerBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub body: Option<PeerBody>,
}

impl From<PeerBody> for PeerFrame {
    fn from(body: PeerBody) -> Self {
        Self { body: Some(body) }
    }
}

/// What a frame says.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// First frame of the dialler.
    #[prost(message, tag = "1")]
    Hello(PeerHello),
    /// Answer of the accepter, with its proof.
    #[prost(message, tag = "2")]
    Welcome(PeerWelcome),
    /// Proof of the dialler.
    #[prost(message, tag = "3")]
    Proof(PeerProof),
    /// What a router says of itself at intervals.
    #[prost(message, tag = "4")]
    Digest(FleetDigest),
    /// Answer to a digest.
    #[prost(message, tag = "5")]
    Pong(DigestPong),
    /// A request for a slot.
    #[prost(message, tag = "6")]
    SlotRequest(SlotRequest),
    /// The steward's answer.
    #[prost(message, tag = "7")]
    SlotReply(SlotReply),
    /// A slot given back.
    #[prost(message, tag = "8")]
    SlotRelease(SlotRelease),
    /// A ticketed call, relayed to its owner.
    #[prost(message, tag = "9")]
    RelayedCall(RelayedCall),
    /// What became of the call.
    #[prost(message, tag = "10")]
    RelayedCallReply(RelayedCallReply),
    /// A request for the manifest in force.
    #[prost(message, tag = "11")]
    ManifestRequest(ManifestRequest),
    /// The manifest in force.
    #[prost(message, tag = "12")]
    ManifestReply(ManifestReply),
    /// A request for parts.
    #[prost(message, tag = "13")]
    PartsRequest(PartsRequest),
    /// Parts.
    #[prost(message, tag = "14")]
    PartsReply(PartsReply),
    /// The sealed ledger of a router that stops.
    #[prost(message, tag = "15")]
    Ledger(LedgerHandover),
    /// Says that a handed ledger is held.
    #[prost(message, tag = "16")]
    LedgerAck(LedgerAck),
    /// The sender's requests in progress.
    #[prost(message, tag = "17")]
    LoadTotal(LoadTotal),
}

/// First frame of the dialler.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// Name of the dialler's VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The dialler's run.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Random bytes that the accepter's proof must cover.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: Bytes,
}

/// Answer of the accepter.
#[derive(Clone, PartialEq, Message)]
pub struct PeerWelcome {
    /// Name of the accepter's VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The accepter's run.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Random bytes that the dialler's proof must cover.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: Bytes,
    /// Keyed hash over both nonces.
    #[prost(bytes = "bytes", tag = "4")]
    pub proof: Bytes,
}

/// Proof of the dialler.
#[derive(Clone, PartialEq, Message)]
pub struct PeerProof {
    /// Keyed hash over both nonces.
    #[prost(bytes = "bytes", tag = "1")]
    pub proof: Bytes,
}

/// What a router says of itself at intervals.
#[derive(Clone, PartialEq, Message)]
pub struct FleetDigest {
    /// Number of this digest on its connection.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Whether the sender is draining.
    #[prost(bool, tag = "2")]
    pub draining: bool,
    /// The configuration in force at the sender.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The sender's requests by engine.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    /// Engines' reports that the sender has read itself.
    #[prost(message, repeated, tag = "5")]
    pub reports: Vec<ReportEntry>,
    /// Requests that wait at the sender.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
}

/// Requests of the sender on one engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadEntry {
    /// Hash of the engine.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// How many of them hold a slot of the headroom.
    #[prost(uint32, tag = "3")]
    pub headroom: u32,
}

/// An engine's report.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ReportEntry {
    /// Hash of the engine.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Its age when this was sent, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether the engine is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Requests that the engine runs.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}

/// Answer to a digest.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DigestPong {
    /// Number of the digest that is answered.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// The sender's requests in progress on the engines of one model.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadTotal {
    /// Hash of the model.
    #[prost(fixed64, tag = "1")]
    pub model: u64,
    /// Requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait at the sender.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
}

/// A request for a slot on an engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRequest {
    /// Hash of the request that wants it; zero for whichever waits.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Hash of the engine.
    #[prost(fixed64, tag = "2")]
    pub engine: u64,
    /// Rank of the request, 0 the most urgent.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Whether to answer once there is a slot rather than at once.
    #[prost(bool, tag = "4")]
    pub wait: bool,
    /// The sender's requests in progress on engines of the same model.
    #[prost(uint32, tag = "5")]
    pub total: u32,
}

/// The steward's answer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotReply {
    /// Hash of the request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// Hash of the engine.
    #[prost(fixed64, tag = "2")]
    pub engine: u64,
    /// Whether the slot is granted.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Whether the slot is one of the headroom.
    #[prost(bool, tag = "4")]
    pub headroom: bool,
    /// The sender's requests in progress on engines of the same model.
    #[prost(uint32, tag = "5")]
    pub total: u32,
}

/// A slot given back to its steward.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRelease {
    /// Hash of the engine.
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Whether the slot is one of the headroom.
    #[prost(bool, tag = "2")]
    pub headroom: bool,
    /// The sender's requests in progress on engines of the same model.
    #[prost(uint32, tag = "3")]
    pub total: u32,
}

/// A ticketed call, relayed to its owner or to a holder of its ledger.
#[derive(Clone, PartialEq, Message)]
pub struct RelayedCall {
    /// Number of the relay at the sender.
    #[prost(uint64, tag = "1")]
    pub relay: u64,
    /// The ticket's text.
    #[prost(string, tag = "2")]
    pub ticket: String,
    /// Hash of the account.
    #[prost(fixed64, tag = "3")]
    pub account: u64,
    /// Hash of the service.
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// The request body.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}

/// What became of a relayed call.
#[derive(Clone, PartialEq, Message)]
pub struct RelayedCallReply {
    /// Number of the relay at its sender.
    #[prost(uint64, tag = "1")]
    pub relay: u64,
    /// The record.
    #[prost(message, optional, tag = "2")]
    pub record: Option<RecordEntry>,
}

/// What is known of a call.
#[derive(Clone, PartialEq, Message)]
pub struct RecordEntry {
    /// 0 unknown, 1 done, 2 not run.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// Status of the answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// The answer.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// A request for the manifest in force.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ManifestRequest {}

/// The manifest in force, as JSON.
#[derive(Clone, PartialEq, Message)]
pub struct ManifestReply {
    /// The manifest; empty for none.
    #[prost(string, tag = "1")]
    pub manifest: String,
}

/// A request for parts.
#[derive(Clone, PartialEq, Message)]
pub struct PartsRequest {
    /// Digests of the wanted parts.
    #[prost(string, repeated, tag = "1")]
    pub digests: Vec<String>,
}

/// Parts; each is named by its own digest.
#[derive(Clone, PartialEq, Message)]
pub struct PartsReply {
    /// Texts of the parts.
    #[prost(string, repeated, tag = "1")]
    pub parts: Vec<String>,
}

/// The sealed ledger of a router that stops.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerHandover {
    /// Hash of the owner's VM.
    #[prost(fixed64, tag = "1")]
    pub owner: u64,
    /// The owner's run.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Every spent ticket.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<HandedOverEntry>,
}

/// A spent ticket of a handed ledger.
#[derive(Clone, PartialEq, Message)]
pub struct HandedOverEntry {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    /// Hash of its account.
    #[prost(fixed64, tag = "2")]
    pub account: u64,
    /// Hash of the body it was spent on.
    #[prost(fixed64, tag = "3")]
    pub body_digest: u64,
    /// What became of it.
    #[prost(message, optional, tag = "4")]
    pub record: Option<RecordEntry>,
}

/// Says that a handed ledger is held.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LedgerAck {
    /// The owner's run.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
}
