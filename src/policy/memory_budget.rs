//! Shares the memory of a process between connections, request bodies and responses.
//!
//! Answers callers outside the limits: many bodies at once that are legal one by one, or that never
//! end, and responses that nobody reads. Small bodies and those that are nearly complete keep their
//! room, and the caller with the most open loses it first. Only bodies that are still arriving lose
//! their room: their calls have not run.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::ids::AccountId;
use crate::mono::MonoTime;

/// Size up to which a body counts as small; ordinary calls have at most 72 KB.
pub const SMALL_BODY_BYTES: usize = 128 << 10;

/// What a body takes per byte: the HTTP library holds a second copy while it is sent.
const BODY_COPIES: usize = 2;

/// Time without a byte after which a body counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What the process takes without any call: code, tables and buffers of the control thread.
const BASE_BYTES: usize = 24 << 20;

/// What an open connection may take: a page of read buffer, a page of write buffer and its task.
const CONNECTION_BYTES: usize = 48 << 10;

/// Part of the descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: usize = 200;

/// Limits of one process, derived from those of its VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetTerms {
    /// Sum of all reservations.
    pub bytes: usize,
    /// Part of `bytes` that only small bodies may use.
    pub small_reserve: usize,
    /// Number of callers' connections.
    pub connections: usize,
}

impl BudgetTerms {
    /// Derives the terms from the memory and the descriptors of the VM; `None` stands for no limit.
    /// Each call may need a second descriptor for its upstream, so that callers get two fifths of
    /// them; the rest is left for peers and the store. A quarter of the memory is left for what the
    /// allocator and the kernel add.
    pub fn new(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let (bytes, by_memory) = memory.map_or((usize::MAX, usize::MAX), |memory| {
            let bytes = memory.saturating_sub(BASE_BYTES) / 4 * 3;
            (bytes, (bytes / 2 / CONNECTION_BYTES).max(1))
        });
        let by_descriptors = descriptors.map_or(usize::MAX, |count| {
            (count.saturating_sub(FILE_DESCRIPTORS) / 5 * 2).max(1)
        });
        Self {
            bytes,
            small_reserve: bytes / 4,
            connections: by_memory.min(by_descriptors),
        }
    }
}

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemoryUse {
    Connections,
    RequestBodies,
    Responses,
}

impl MemoryUse {
    pub const ALL: [Self; 3] = [Self::Connections, Self::RequestBodies, Self::Responses];

    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::RequestBodies => "request-bodies",
            Self::Responses => "responses",
        }
    }
}

/// The client that sends a body.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct ClientKey {
    /// `None` if the connection is gone.
    pub address: Option<IpAddr>,
    /// `None` on public routes.
    pub account: Option<AccountId>,
}

/// A request body in the budget.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

#[derive(Clone, Debug)]
struct OpenBody {
    client: ClientKey,
    /// Bytes reserved.
    held: usize,
    /// Bytes that are still to come, as announced or as allowed at most.
    remaining: usize,
    latest: MonoTime,
    /// Whether the body arrived completely, so that its call may run.
    is_complete: bool,
}

/// Result of a reservation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoomDecision {
    /// Whether there was room, or other bodies had to give up theirs.
    pub is_granted: bool,
    /// The bodies that lost their room; their calls are to be refused.
    pub dropped: Vec<BodyId>,
}

/// The reserved memory of a process.
///
/// Invariant: the sum reserved for request bodies is that of the bodies in the table.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    terms: BudgetTerms,
    connections: usize,
    responses: usize,
    /// Sum of `held` in `bodies`.
    body_bytes: usize,
    bodies: HashMap<BodyId, OpenBody>,
    next_id: u64,
}

impl MemoryBudget {
    pub fn new(terms: BudgetTerms) -> Self {
        Self {
            terms,
            connections: 0,
            responses: 0,
            body_bytes: 0,
            bodies: HashMap::new(),
            next_id: 0,
        }
    }

    /// Replaces the terms. What is reserved above new ones stays so until it is returned.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Sets the number of callers' connections.
    pub fn set_connections(&mut self, count: usize) {
        self.connections = count;
    }

    /// Returns whether one more connection of a caller has room.
    pub fn has_connection(&self) -> bool {
        self.connections < self.terms.connections
    }

    pub fn reserved(&self, purpose: MemoryUse) -> usize {
        match purpose {
            MemoryUse::Connections => self.connections.saturating_mul(CONNECTION_BYTES),
            MemoryUse::RequestBodies => self.body_bytes,
            MemoryUse::Responses => self.responses,
        }
    }

    /// Returns what is left for a body of `bytes`.
    fn free(&self, bytes: usize) -> usize {
        let reserve = if bytes > SMALL_BODY_BYTES {
            self.terms.small_reserve
        } else {
            0
        };
        MemoryUse::ALL
            .into_iter()
            .fold(self.terms.bytes.saturating_sub(reserve), |left, purpose| {
                left.saturating_sub(self.reserved(purpose))
            })
    }

    /// Opens the reservation of a request body of which nothing has arrived. `None` if a body of
    /// `announced` bytes has no room now, not even in place of stalled ones.
    pub fn open_body(
        &mut self,
        client: ClientKey,
        announced: Option<usize>,
        limit: usize,
        now: MonoTime,
    ) -> Option<BodyId> {
        let bytes = announced.unwrap_or(0);
        let needed = bytes.saturating_mul(BODY_COPIES);
        let free = self.free(bytes);
        if free < needed && free.saturating_add(self.stalled_bytes(now)) < needed {
            return None;
        }
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = OpenBody {
            client,
            held: 0,
            remaining: announced.unwrap_or(limit),
            latest: now,
            is_complete: false,
        };
        self.bodies.insert(id, body);
        Some(id)
    }

    fn stalled_bytes(&self, now: MonoTime) -> usize {
        let stalled = self.bodies.values().filter(|body| is_stalled(body, now));
        stalled.map(|body| body.held).sum()
    }

    /// Reserves room for `bytes` more of a body. A body that lost its room is refused.
    pub fn grow_body(&mut self, id: BodyId, bytes: usize, now: MonoTime) -> RoomDecision {
        let Some(body) = self.bodies.get_mut(&id) else {
            return RoomDecision::default();
        };
        body.latest = now;
        let more = bytes.saturating_mul(BODY_COPIES);
        let total = body.held / BODY_COPIES + bytes;
        let decision = self.make_room(more, total, Some(id), now);
        if decision.is_granted
            && let Some(body) = self.bodies.get_mut(&id)
        {
            body.held += more;
            body.remaining = body.remaining.saturating_sub(bytes);
            self.body_bytes += more;
        }
        decision
    }

    /// Records that a body arrived completely. Returns false if it has lost its room.
    pub fn complete_body(&mut self, id: BodyId) -> bool {
        let body = self.bodies.get_mut(&id);
        body.map(|body| body.is_complete = true).is_some()
    }

    /// Returns the room of a body, on any end of its call.
    pub fn close_body(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.body_bytes -= body.held;
        }
    }

    /// Reserves room for a part of a response of `total` bytes.
    pub fn reserve_response(&mut self, bytes: usize, total: usize, now: MonoTime) -> RoomDecision {
        let decision = self.make_room(bytes, total, None, now);
        if decision.is_granted {
            self.responses += bytes;
        }
        decision
    }

    /// Counts a response that is in memory already.
    pub fn hold_response(&mut self, bytes: usize) {
        self.responses = self.responses.saturating_add(bytes);
    }

    /// Returns the room of a response.
    pub fn return_response(&mut self, bytes: usize) {
        self.responses = self.responses.saturating_sub(bytes);
    }

    /// Makes room for `more` bytes of something that will have `total`, in place of bodies that are
    /// still arriving.
    fn make_room(
        &mut self,
        more: usize,
        total: usize,
        requester: Option<BodyId>,
        now: MonoTime,
    ) -> RoomDecision {
        let mut dropped = Vec::new();
        while self.free(total) < more {
            let victim = self.next_victim(total, requester, now);
            match victim.filter(|&victim| Some(victim) != requester) {
                Some(victim) => {
                    self.close_body(victim);
                    dropped.push(victim);
                }
                None => break,
            }
        }
        RoomDecision {
            is_granted: self.free(total) >= more,
            dropped,
        }
    }

    /// Returns the body that loses its room first: one that stalls, then one of the client with the
    /// most open, then the one that is furthest from its end. Large bodies take nothing from small
    /// ones.
    fn next_victim(
        &self,
        total: usize,
        requester: Option<BodyId>,
        now: MonoTime,
    ) -> Option<BodyId> {
        let mut addresses: HashMap<Option<IpAddr>, usize> = HashMap::new();
        let mut clients: HashMap<&ClientKey, usize> = HashMap::new();
        for body in self.bodies.values() {
            *addresses.entry(body.client.address).or_default() += body.held;
            *clients.entry(&body.client).or_default() += body.held;
        }
        let arriving = self.bodies.iter().filter(|(id, body)| {
            let is_protected =
                total > SMALL_BODY_BYTES && body.held <= SMALL_BODY_BYTES * BODY_COPIES;
            !body.is_complete && (Some(**id) == requester || (body.held > 0 && !is_protected))
        });
        let first = arriving.max_by_key(|(id, body)| {
            let by_address = addresses.get(&body.client.address);
            let by_client = clients.get(&body.client);
            let most_open = (by_address.copied(), by_client.copied());
            (is_stalled(body, now), most_open, body.remaining, **id)
        });
        first.map(|(&id, _)| id)
    }
}

fn is_stalled(body: &OpenBody, now: MonoTime) -> bool {
    !body.is_complete && now.since(body.latest) > STALL_TIME
}
