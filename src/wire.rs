//! Protobuf messages between routers. Fields of type `fixed64` that are named after an engine,
//! model, account, service, request or owner hold the 64-bit hash that identifies it.

use bytes::Bytes;
use prost::{Message, Oneof};

/// Largest frame between routers.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A frame: one message between routers.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The message; `None` if its tag is missing or unknown.
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

/// The message in a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerBody {
    /// Starts the handshake; sent by the dialler.
    #[prost(message, tag = "1")]
    Hello(PeerHello),
    /// The accepter's response to the hello, with its proof.
    #[prost(message, tag = "2")]
    Welcome(PeerWelcome),
    /// The dialler's proof, which ends the handshake.
    #[prost(message, tag = "3")]
    Proof(PeerProof),
    /// The sender's state, sent at intervals.
    #[prost(message, tag = "4")]
    Digest(FleetDigest),
    /// Acknowledges a digest, which keeps the connection from timing out.
    #[prost(message, tag = "5")]
    Pong(DigestPong),
    /// Requests a slot of an engine from its slot owner.
    #[prost(message, tag = "6")]
    SlotRequest(SlotRequest),
    /// The slot owner's response.
    #[prost(message, tag = "7")]
    SlotReply(SlotReply),
    /// Returns a slot to its slot owner.
    #[prost(message, tag = "8")]
    SlotRelease(SlotRelease),
    /// Relays a ticketed call to the owner of its ticket.
    #[prost(message, tag = "9")]
    RelayedCall(RelayedCall),
    /// The result of a relayed call.
    #[prost(message, tag = "10")]
    RelayedCallReply(RelayedCallReply),
    /// Requests the manifest that is in force at the receiver.
    #[prost(message, tag = "11")]
    ManifestRequest(ManifestRequest),
    /// The manifest that is in force at the sender.
    #[prost(message, tag = "12")]
    ManifestReply(ManifestReply),
    /// Requests parts of a configuration.
    #[prost(message, tag = "13")]
    PartsRequest(PartsRequest),
    /// Parts of a configuration.
    #[prost(message, tag = "14")]
    PartsReply(PartsReply),
    /// Hands over the ledger of a router that stops.
    #[prost(message, tag = "15")]
    Ledger(LedgerHandover),
    /// Acknowledges that a ledger was stored.
    #[prost(message, tag = "16")]
    LedgerAck(LedgerAck),
    /// The sender's load on one model.
    #[prost(message, tag = "17")]
    LoadTotal(LoadTotal),
}

/// The dialler's first frame.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// The name of the dialler's VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Tells apart successive processes on the dialler's VM.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The random challenge that the accepter's proof must cover.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: Bytes,
}

/// The accepter's response to a hello.
#[derive(Clone, PartialEq, Message)]
pub struct PeerWelcome {
    /// The name of the accepter's VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Tells apart successive processes on the accepter's VM.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The random challenge that the dialler's proof must cover.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: Bytes,
    /// Hash over both nonces, keyed by the fleet key.
    #[prost(bytes = "bytes", tag = "4")]
    pub proof: Bytes,
}

/// Shows that the dialler has the fleet key.
#[derive(Clone, PartialEq, Message)]
pub struct PeerProof {
    /// Hash over both nonces, keyed by the fleet key.
    #[prost(bytes = "bytes", tag = "1")]
    pub proof: Bytes,
}

/// The state of a router, sent to every connected peer at intervals.
#[derive(Clone, PartialEq, Message)]
pub struct FleetDigest {
    /// Sequence number, repeated in the acknowledgement.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(bool, tag = "2")]
    pub draining: bool,
    /// The revision of the configuration that is in force at the sender.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The sender's load on each engine.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<LoadEntry>,
    /// Load reports that the sender itself fetched from engines.
    #[prost(message, repeated, tag = "5")]
    pub reports: Vec<ReportEntry>,
    /// Requests that wait at the sender for a slot.
    #[prost(uint32, tag = "6")]
    pub waiting: u32,
}

/// The sender's load on one engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadEntry {
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The sender's requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// How many of them occupy a headroom slot.
    #[prost(uint32, tag = "3")]
    pub headroom: u32,
}

/// An engine's report of its load.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ReportEntry {
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Age of the report when this message was sent. An age is sent instead of a time, because
    /// the clocks of two processes are unrelated.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Whether the engine reported that it is leaving.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Requests in progress on the engine, as it reported.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}

/// Acknowledges a digest.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct DigestPong {
    /// Sequence number of the digest.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
}

/// The sender's load on all engines of one model.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LoadTotal {
    #[prost(fixed64, tag = "1")]
    pub model: u64,
    /// The sender's requests in progress.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait at the sender for a slot.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
}

/// Requests a slot of an engine from its slot owner.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRequest {
    /// The request that needs the slot; zero if any waiting request of the sender may use it.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    #[prost(fixed64, tag = "2")]
    pub engine: u64,
    /// Rank of the request; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Whether the slot owner queues the sender until a slot is free, instead of denying at once.
    #[prost(bool, tag = "4")]
    pub wait: bool,
    /// The sender's requests in progress on all engines of the same model.
    #[prost(uint32, tag = "5")]
    pub total: u32,
}

/// The slot owner's response to a slot request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotReply {
    /// The request named in the slot request; zero if any waiting request may use the slot.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    #[prost(fixed64, tag = "2")]
    pub engine: u64,
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Whether the slot is a headroom slot.
    #[prost(bool, tag = "4")]
    pub headroom: bool,
    /// The sender's requests in progress on all engines of the same model.
    #[prost(uint32, tag = "5")]
    pub total: u32,
}

/// Returns a slot to its slot owner.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct SlotRelease {
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Whether the slot is a headroom slot.
    #[prost(bool, tag = "2")]
    pub headroom: bool,
    /// The sender's requests in progress on all engines of the same model.
    #[prost(uint32, tag = "3")]
    pub total: u32,
}

/// A ticketed call, relayed to the owner of its ticket or to routers that may have the owner's
/// handed-over ledger.
#[derive(Clone, PartialEq, Message)]
pub struct RelayedCall {
    /// Identifies the relayed call at the sender.
    #[prost(uint64, tag = "1")]
    pub relay: u64,
    /// The ticket in its text form.
    #[prost(string, tag = "2")]
    pub ticket: String,
    #[prost(fixed64, tag = "3")]
    pub account: u64,
    #[prost(fixed64, tag = "4")]
    pub service: u64,
    /// The request body.
    #[prost(bytes = "bytes", tag = "5")]
    pub body: Bytes,
}

/// The result of a relayed call.
#[derive(Clone, PartialEq, Message)]
pub struct RelayedCallReply {
    /// Identifies the relayed call at the router that relayed it.
    #[prost(uint64, tag = "1")]
    pub relay: u64,
    #[prost(message, optional, tag = "2")]
    pub record: Option<RecordEntry>,
}

/// The outcome of a call and the response to it.
#[derive(Clone, PartialEq, Message)]
pub struct RecordEntry {
    /// 0 unknown, 1 done, 2 not run.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// HTTP status of the response.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Body of the response.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// Requests the manifest that is in force at the receiver.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ManifestRequest {}

/// The manifest that is in force at the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ManifestReply {
    /// The manifest as JSON; empty if none is in force.
    #[prost(string, tag = "1")]
    pub manifest: String,
}

/// Requests parts of a configuration.
#[derive(Clone, PartialEq, Message)]
pub struct PartsRequest {
    /// Digests of the requested parts.
    #[prost(string, repeated, tag = "1")]
    pub digests: Vec<String>,
}

/// Parts of a configuration. The receiver identifies each by the digest of its text.
#[derive(Clone, PartialEq, Message)]
pub struct PartsReply {
    #[prost(string, repeated, tag = "1")]
    pub parts: Vec<String>,
}

/// The ledger of a router that stops, closed to further spending.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerHandover {
    /// The VM of the router that issued the tickets.
    #[prost(fixed64, tag = "1")]
    pub owner: u64,
    /// Tells apart successive processes on the owner's VM.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// All spent tickets.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<HandedOverEntry>,
}

/// A spent ticket in a ledger that is handed over.
#[derive(Clone, PartialEq, Message)]
pub struct HandedOverEntry {
    /// Serial number of the ticket.
    #[prost(uint64, tag = "1")]
    pub serial: u64,
    #[prost(fixed64, tag = "2")]
    pub account: u64,
    /// Hash of the request body that the ticket was spent on.
    #[prost(fixed64, tag = "3")]
    pub body_digest: u64,
    /// The result of the call.
    #[prost(message, optional, tag = "4")]
    pub record: Option<RecordEntry>,
}

/// Acknowledges that a ledger was stored.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct LedgerAck {
    /// The owner's incarnation, as in the handover.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
}
