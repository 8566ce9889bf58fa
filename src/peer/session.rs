//! The proof at the start of a connection and the seal on every frame.

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

/// Longest time for the proof at the start of a connection.
const PROOF_LIMIT: Duration = Duration::from_secs(2);

/// Bytes of the seal before each frame.
const SEAL_BYTES: usize = 16;

/// Bytes of the random part of a proof.
const NONCE_BYTES: usize = 32;

/// The secret that all routers of a fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

impl FleetKey {
    /// The key that stands for the settings' text.
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

/// Seals frames of one direction of one connection.
struct FrameSeal {
    key: [u8; 32],
    /// Frames sealed so far; part of each seal, so that none can be repeated or left out.
    count: u64,
}

impl FrameSeal {
    fn next(&mut self, payload: &[u8]) -> [u8; SEAL_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(payload);
        self.count += 1;
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_BYTES]);
        seal
    }
}

/// The writing side of a proved connection.
pub struct FrameWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    seal: Option<FrameSeal>,
}

impl FrameWriter {
    /// Sends one frame.
    pub async fn send(&mut self, peer: &str, body: PeerBody) -> RouterResult<()> {
        let payload = PeerFrame::from(body).encode_to_vec();
        let mut bytes = Vec::with_capacity(payload.len() + SEAL_BYTES);
        if let Some(seal) = &mut self.seal {
            bytes.extend_from_slice(&seal.next(&payload));
        }
        bytes.extend_from_slice(&payload);
        self.frames
            .send(Bytes::from(bytes))
            .await
            .map_err(|error| RouterError::step(StepName::PeerFrame, peer, error))
    }
}

/// The reading side of a proved connection.
pub struct FrameReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    seal: Option<FrameSeal>,
}

impl FrameReader {
    /// Reads one frame, at most `silence` after the last.
    pub async fn next(&mut self, peer: &str, silence: Duration) -> RouterResult<PeerBody> {
        let fault = |text: &str| RouterError::step_text(StepName::PeerFrame, peer, text);
        let read = tokio::time::timeout(silence, self.frames.next()).await;
        let frame = read.map_err(|_| fault("silent for too long"))?;
        let bytes = frame.ok_or_else(|| fault("connection ended"))?;
        let bytes = bytes.map_err(|error| RouterError::step(StepName::PeerFrame, peer, error))?;
        decode_frame(bytes.freeze(), self.seal.as_mut()).map_err(fault)
    }
}

fn decode_frame(mut bytes: Bytes, seal: Option<&mut FrameSeal>) -> Result<PeerBody, &'static str> {
    if let Some(seal) = seal {
        if bytes.len() < SEAL_BYTES {
            return Err("frame is shorter than its seal");
        }
        let told = bytes.split_to(SEAL_BYTES);
        if told.chunk() != seal.next(&bytes) {
            return Err("seal does not match");
        }
    }
    let frame = PeerFrame::decode(bytes).map_err(|_| "frame is not a peer message")?;
    frame.body.ok_or("frame is empty")
}

/// A proved connection.
pub struct PeerSession {
    /// Who is at the other end.
    pub name: PeerName,
    /// Frames from it.
    pub reader: FrameReader,
    /// Frames to it.
    pub writer: FrameWriter,
}

impl PeerSession {
    /// Carries frames both ways until the connection fails or is silent for `silence`.
    pub async fn exchange(
        self,
        opened: MonoTime,
        silence: Duration,
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
                let body = reader.next(&peer, silence).await?;
                notify(PeerEvent::Frame {
                    name: name.clone(),
                    body,
                    mailbox: mailbox.clone(),
                    opened,
                });
            }
        };
        tokio::select! {
            ended = write => ended,
            ended = read => ended,
        }
    }
}

/// Both ends of the queue of frames that wait to be sent.
pub struct MailboxPair {
    /// Where frames are put.
    pub mailbox: PeerMailbox,
    /// Where the connection takes them.
    pub outgoing: UnboundedReceiver<PeerBody>,
}

impl MailboxPair {
    /// An empty queue.
    pub fn open() -> Self {
        let (mailbox, outgoing) = unbounded_channel();
        Self { mailbox, outgoing }
    }
}

/// Proves this router to the peer that it dialled, and the peer to it.
pub async fn prove_dialled(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let proved = tokio::time::timeout(PROOF_LIMIT, dialler_proof(stream, own, peer)).await;
    proved.map_err(|_| proof_fault(peer, "took too long"))?
}

/// Proves this router to a peer that dialled it, and the peer to it.
pub async fn prove_accepted(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let proved = tokio::time::timeout(PROOF_LIMIT, accepter_proof(stream, own, peer)).await;
    proved.map_err(|_| proof_fault(peer, "took too long"))?
}

async fn dialler_proof(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let (mut reader, mut writer) = open_frames(stream);
    let nonce = fresh_nonce();
    let hello = PeerHello {
        vm: own.vm.to_string(),
        incarnation: own.incarnation.0,
        nonce: nonce.clone(),
    };
    writer.send(peer, PeerBody::Hello(hello)).await?;
    let PeerBody::Welcome(welcome) = reader.next(peer, PROOF_LIMIT).await? else {
        return Err(proof_fault(peer, "expected a welcome"));
    };
    let expected = own.key.hash("accepter", &nonce, &welcome.nonce);
    check_proof(peer, &welcome.proof, expected)?;
    let proof = own.key.hash("dialler", &welcome.nonce, &nonce);
    let proof = Bytes::copy_from_slice(&proof);
    writer
        .send(peer, PeerBody::Proof(PeerProof { proof }))
        .await?;
    let name = peer_name(peer, &welcome.vm, welcome.incarnation)?;
    writer.seal = Some(seal_of(own, "to accepter", &nonce, &welcome.nonce));
    reader.seal = Some(seal_of(own, "to dialler", &nonce, &welcome.nonce));
    Ok(PeerSession {
        name,
        reader,
        writer,
    })
}

async fn accepter_proof(
    stream: TcpStream,
    own: &PeerIdentity,
    peer: &str,
) -> RouterResult<PeerSession> {
    let (mut reader, mut writer) = open_frames(stream);
    let PeerBody::Hello(hello) = reader.next(peer, PROOF_LIMIT).await? else {
        return Err(proof_fault(peer, "expected a hello"));
    };
    let nonce = fresh_nonce();
    let proof = own.key.hash("accepter", &hello.nonce, &nonce);
    let welcome = PeerWelcome {
        vm: own.vm.to_string(),
        incarnation: own.incarnation.0,
        nonce: nonce.clone(),
        proof: Bytes::copy_from_slice(&proof),
    };
    writer.send(peer, PeerBody::Welcome(welcome)).await?;
    let PeerBody::Proof(told) = reader.next(peer, PROOF_LIMIT).await? else {
        return Err(proof_fault(peer, "expected a proof"));
    };
    let expected = own.key.hash("dialler", &nonce, &hello.nonce);
    check_proof(peer, &told.proof, expected)?;
    let name = peer_name(peer, &hello.vm, hello.incarnation)?;
    writer.seal = Some(seal_of(own, "to dialler", &hello.nonce, &nonce));
    reader.seal = Some(seal_of(own, "to accepter", &hello.nonce, &nonce));
    Ok(PeerSession {
        name,
        reader,
        writer,
    })
}

fn open_frames(stream: TcpStream) -> (FrameReader, FrameWriter) {
    // Small questions must not wait for more bytes.
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    let codec = || {
        LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec()
    };
    let reader = FrameReader {
        frames: FramedRead::new(read, codec()),
        seal: None,
    };
    let writer = FrameWriter {
        frames: FramedWrite::new(write, codec()),
        seal: None,
    };
    (reader, writer)
}

fn fresh_nonce() -> Bytes {
    let nonce: [u8; NONCE_BYTES] = rand::rng().random();
    Bytes::copy_from_slice(&nonce)
}

fn seal_of(own: &PeerIdentity, direction: &str, dialler: &[u8], accepter: &[u8]) -> FrameSeal {
    FrameSeal {
        key: own.key.hash(direction, dialler, accepter),
        count: 0,
    }
}

fn check_proof(peer: &str, told: &[u8], expected: [u8; 32]) -> RouterResult<()> {
    let told: Result<[u8; 32], _> = told.try_into();
    // blake3's hashes compare in constant time.
    let matches = told.is_ok_and(|told| blake3::Hash::from(told) == blake3::Hash::from(expected));
    if matches {
        Ok(())
    } else {
        Err(proof_fault(peer, "the peer does not know the fleet key"))
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

fn proof_fault(peer: &str, text: &str) -> RouterError {
    RouterError::step_text(StepName::PeerProof, peer, text)
}
