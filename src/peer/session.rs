//! The mutual authentication at the start of a connection, and the message authentication code
//! (MAC) on every later frame. Both use BLAKE3 keyed by the fleet key.

use std::fmt;
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::error::{RouterError, RouterResult, StepName};
use crate::ids::IncarnationId;
use crate::mono::MonoTime;
use crate::peer::{PeerEvent, PeerIdentity, PeerMailbox, PeerName};
use crate::wire::{MAX_FRAME_BYTES, PeerBody, PeerFrame, PeerHello, PeerProof, PeerWelcome};

/// Time limit of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Length of the MAC that precedes the payload of each frame after the handshake.
const MAC_BYTES: usize = 16;

/// Length of the random challenge that each side sends in the handshake.
const NONCE_BYTES: usize = 32;

/// The secret that all routers of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// Derives the key from the `fleet_key` text in the settings.
    pub fn derive(text: &str) -> Self {
        Self(blake3::derive_key(
            "hawthornrouter fleet key v1",
            text.as_bytes(),
        ))
    }

    fn hash(&self, role: &str, first: &[u8], second: &[u8]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(role.as_bytes());
        hasher.update(first);
        hasher.update(second);
        *hasher.finalize().as_bytes()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey")
    }
}

/// Computes the MACs for one direction of one connection.
struct FrameMac {
    key: [u8; 32],
    /// Frames processed so far. The MAC covers it, so that a frame which was replayed, reordered or
    /// dropped in transit is detected.
    count: u64,
}

impl FrameMac {
    fn next_code(&mut self, payload: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(payload);
        self.count += 1;
        let mut code = [0; MAC_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        code
    }
}

/// The sending half of a connection. Frames carry a MAC only after the handshake.
pub struct FrameWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mac: Option<FrameMac>,
}

impl FrameWriter {
    pub async fn send(&mut self, peer: &str, body: PeerBody) -> RouterResult<()> {
        let payload = PeerFrame::from(body).encode_to_vec();
        let mut bytes = Vec::with_capacity(payload.len() + MAC_BYTES);
        if let Some(mac) = &mut self.mac {
            bytes.extend_from_slice(&mac.next_code(&payload));
        }
        bytes.extend_from_slice(&payload);
        self.frames
            .send(Bytes::from(bytes))
            .await
            .map_err(|error| RouterError::step(StepName::PeerFrame, peer, error))
    }
}

/// The receiving half of a connection. MACs are verified only after the handshake.
pub struct FrameReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    mac: Option<FrameMac>,
}

impl FrameReader {
    /// Receives one frame. Fails if none arrives within `idle_timeout`.
    pub async fn next(&mut self, peer: &str, idle_timeout: Duration) -> RouterResult<PeerBody> {
        let frame_error = |text: &str| RouterError::step_text(StepName::PeerFrame, peer, text);
        let read = tokio::time::timeout(idle_timeout, self.frames.next()).await;
        let frame = read.map_err(|_| frame_error("no frame received within the idle timeout"))?;
        let bytes = frame.ok_or_else(|| frame_error("connection closed by the peer"))?;
        let bytes = bytes.map_err(|error| RouterError::step(StepName::PeerFrame, peer, error))?;
        decode_frame(bytes.freeze(), self.mac.as_mut()).map_err(frame_error)
    }
}

fn decode_frame(mut bytes: Bytes, mac: Option<&mut FrameMac>) -> Result<PeerBody, &'static str> {
    if let Some(mac) = mac {
        if bytes.len() < MAC_BYTES {
            return Err("frame is shorter than its authentication code");
        }
        let received = bytes.split_to(MAC_BYTES);
        if received.chunk() != mac.next_code(&bytes) {
            return Err("authentication code does not match");
        }
    }
    let frame = PeerFrame::decode(bytes).map_err(|_| "frame is not a valid peer message")?;
    frame.body.ok_or("frame contains no known message")
}

/// A connection after a successful handshake.
pub struct PeerSession {
    /// The authenticated peer.
    pub name: PeerName,
    pub reader: FrameReader,
    pub writer: FrameWriter,
}

impl PeerSession {
    /// Sends the frames queued in `channel` and reports received ones to `notify`, until the
    /// connection fails or no frame was received for `idle_timeout`.
    pub async fn exchange(
        self,
        opened: MonoTime,
        idle_timeout: Duration,
        channel: MailboxPair,
        notify: &impl Fn(PeerEvent),
    ) -> RouterResult<()> {
        let Self {
            name,
            mut reader,
            mut writer,
        } = self;
        let peer = name.vm.to_string();
        let MailboxPair {
            mailbox,
            mut outgoing,
        } = channel;
        let write = async {
            while let Some(body) = outgoing.recv().await {
                writer.send(&peer, body).await?;
            }
            Ok(())
        };
        let read = async {
            loop {
                let body = reader.next(&peer, idle_timeout).await?;
                notify(PeerEvent::Frame {
                    name: name.clone(),
                    body,
                    mailbox: mailbox.clone(),
                    opened,
                });
            }
        };
        tokio::select! {
            result = write => result,
            result = read => result,
        }
    }
}

/// Both ends of the queue of outgoing frames of one connection.
pub struct MailboxPair {
    /// Adds frames to the queue.
    pub mailbox: PeerMailbox,
    /// Yields the frames for the connection to send.
    pub outgoing: UnboundedReceiver<PeerBody>,
}

impl MailboxPair {
    /// Creates an empty queue.
    pub fn open() -> Self {
        let (mailbox, outgoing) = unbounded_channel();
        Self { mailbox, outgoing }
    }
}

/// Authenticates this router and a peer that it dialled to each other.
pub async fn handshake_as_dialler(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let handshake =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, run_dialler_handshake(stream, own, peer)).await;
    handshake.map_err(|_| handshake_error(peer, "handshake timed out"))?
}

/// Authenticates this router and a peer that dialled it to each other.
pub async fn handshake_as_accepter(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let handshake =
        tokio::time::timeout(HANDSHAKE_TIMEOUT, run_accepter_handshake(stream, own, peer)).await;
    handshake.map_err(|_| handshake_error(peer, "handshake timed out"))?
}

async fn run_dialler_handshake(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let (mut reader, mut writer) = split_stream(stream);
    let nonce = random_nonce();
    let hello = PeerHello {
        vm: own.vm.to_string(),
        incarnation: own.incarnation.0,
        nonce: nonce.clone(),
    };
    writer.send(peer, PeerBody::Hello(hello)).await?;
    let PeerBody::Welcome(welcome) = reader.next(peer, HANDSHAKE_TIMEOUT).await? else {
        return Err(handshake_error(peer, "expected a welcome frame"));
    };
    let expected = own.key.hash("accepter", &nonce, &welcome.nonce);
    verify_proof(peer, &welcome.proof, expected)?;
    let proof = own.key.hash("dialler", &welcome.nonce, &nonce);
    let proof = Bytes::copy_from_slice(&proof);
    writer
        .send(peer, PeerBody::Proof(PeerProof { proof }))
        .await?;
    let name = peer_name(peer, &welcome.vm, welcome.incarnation)?;
    writer.mac = Some(frame_mac(own, "to accepter", &nonce, &welcome.nonce));
    reader.mac = Some(frame_mac(own, "to dialler", &nonce, &welcome.nonce));
    Ok(PeerSession {
        name,
        reader,
        writer,
    })
}

async fn run_accepter_handshake(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let (mut reader, mut writer) = split_stream(stream);
    let PeerBody::Hello(hello) = reader.next(peer, HANDSHAKE_TIMEOUT).await? else {
        return Err(handshake_error(peer, "expected a hello frame"));
    };
    let nonce = random_nonce();
    let proof = own.key.hash("accepter", &hello.nonce, &nonce);
    let welcome = PeerWelcome {
        vm: own.vm.to_string(),
        incarnation: own.incarnation.0,
        nonce: nonce.clone(),
        proof: Bytes::copy_from_slice(&proof),
    };
    writer.send(peer, PeerBody::Welcome(welcome)).await?;
    let PeerBody::Proof(received) = reader.next(peer, HANDSHAKE_TIMEOUT).await? else {
        return Err(handshake_error(peer, "expected a proof frame"));
    };
    let expected = own.key.hash("dialler", &nonce, &hello.nonce);
    verify_proof(peer, &received.proof, expected)?;
    let name = peer_name(peer, &hello.vm, hello.incarnation)?;
    writer.mac = Some(frame_mac(own, "to dialler", &hello.nonce, &nonce));
    reader.mac = Some(frame_mac(own, "to accepter", &hello.nonce, &nonce));
    Ok(PeerSession {
        name,
        reader,
        writer,
    })
}

fn split_stream(stream: TcpStream) -> (FrameReader, FrameWriter) {
    // Nagle's algorithm would delay small requests.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let codec = || {
        LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec()
    };
    let reader = FrameReader {
        frames: FramedRead::new(read, codec()),
        mac: None,
    };
    let writer = FrameWriter {
        frames: FramedWrite::new(write, codec()),
        mac: None,
    };
    (reader, writer)
}

fn random_nonce() -> Bytes {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    Bytes::copy_from_slice(&nonce)
}

fn frame_mac(own: &PeerIdentity, direction: &str, dialler: &[u8], accepter: &[u8]) -> FrameMac {
    FrameMac {
        key: own.key.hash(direction, dialler, accepter),
        count: 0,
    }
}

fn verify_proof(peer: &str, received: &[u8], expected: [u8; 32]) -> RouterResult<()> {
    let received: Result<[u8; 32], _> = received.try_into();
    // `blake3::Hash` compares in constant time, so that timing does not reveal the proof.
    let matches =
        received.is_ok_and(|hash| blake3::Hash::from(hash) == blake3::Hash::from(expected));
    if matches {
        Ok(())
    } else {
        Err(handshake_error(
            peer,
            "the peer does not have the fleet key",
        ))
    }
}

fn peer_name(peer: &str, vm: &str, incarnation: u64) -> RouterResult<PeerName> {
    let vm = vm.parse().map_err(|error: crate::error::ValueError| {
        RouterError::step(StepName::PeerProof, peer, error)
    })?;
    Ok(PeerName {
        vm,
        incarnation: IncarnationId(incarnation),
    })
}

fn handshake_error(peer: &str, text: &str) -> RouterError {
    RouterError::step_text(StepName::PeerProof, peer, text)
}
