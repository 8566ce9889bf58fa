//! The memory budget of the traffic thread, and the reservations of calls in it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::mono::{MonoTime, ProcessClock};
use crate::policy::memory_budget::{
    BodyId, BudgetTerms, ClientKey, MemoryBudget, MemoryUse, RoomDecision,
};
use crate::prometheus_metrics::{PrometheusMetrics, set_count};

/// Why something had no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomRefusal {
    /// A body was refused before it was read.
    Announced,
    /// A body was refused while it arrived.
    Arriving,
    /// A body lost its room to another one.
    Displaced,
    /// The response of an upstream had no room.
    Response,
    /// A caller's connection was closed for a new one.
    ConnectionClosed,
    /// A caller's connection was closed right away.
    ConnectionRefused,
}

impl RoomRefusal {
    fn label(self) -> &'static str {
        match self {
            Self::Announced => "announced",
            Self::Arriving => "arriving",
            Self::Displaced => "displaced",
            Self::Response => "response",
            Self::ConnectionClosed => "connection-closed",
            Self::ConnectionRefused => "connection-refused",
        }
    }
}

/// The memory budget of a traffic thread.
#[derive(Debug)]
pub struct MemoryRoom {
    budget: RefCell<MemoryBudget>,
    /// Wake the readers of the open bodies when they lose their room.
    readers: RefCell<HashMap<BodyId, Rc<Notify>>>,
    clock: ProcessClock,
    telemetry: PrometheusMetrics,
    /// Refusals since the last log line.
    unlogged: Cell<u64>,
}

impl MemoryRoom {
    pub fn new(terms: BudgetTerms, clock: ProcessClock, telemetry: PrometheusMetrics) -> Self {
        Self {
            budget: RefCell::new(MemoryBudget::new(terms)),
            readers: RefCell::default(),
            clock,
            telemetry,
            unlogged: Cell::new(0),
        }
    }

    fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Applies the settings in force, sets the metrics and logs what was refused since.
    pub fn sweep(&self, terms: BudgetTerms) {
        let mut budget = self.budget.borrow_mut();
        budget.set_terms(terms);
        for purpose in MemoryUse::ALL {
            let gauge = &self.telemetry.memory_reserved;
            let gauge = gauge.with_label_values(&[purpose.label()]);
            set_count(&gauge, budget.reserved(purpose));
        }
        let refusals = self.unlogged.take();
        if refusals > 0 {
            spdlog::warn!("room-short", kv: {
                refusals: = refusals,
                connections: = budget.reserved(MemoryUse::Connections),
                request_bodies: = budget.reserved(MemoryUse::RequestBodies),
                responses: = budget.reserved(MemoryUse::Responses)
            });
        }
    }

    pub fn count_refusal(&self, refusal: RoomRefusal) {
        let refusals = &self.telemetry.room_refusals;
        refusals.with_label_values(&[refusal.label()]).inc();
        self.unlogged.update(|count| count + 1);
    }

    pub fn set_connections(&self, count: usize) {
        self.budget.borrow_mut().set_connections(count);
    }

    pub fn has_connection(&self) -> bool {
        self.budget.borrow().has_connection()
    }

    /// Opens the reservation of a request body, unless one of its announced length has no room.
    pub fn open_body(
        self: &Rc<Self>,
        client: ClientKey,
        announced: Option<usize>,
        limit: usize,
    ) -> Option<BodyRoom> {
        let now = self.now();
        let opened = self
            .budget
            .borrow_mut()
            .open_body(client, announced, limit, now);
        let Some(id) = opened else {
            self.count_refusal(RoomRefusal::Announced);
            return None;
        };
        let lost = Rc::new(Notify::new());
        self.readers.borrow_mut().insert(id, Rc::clone(&lost));
        Some(BodyRoom {
            room: Rc::clone(self),
            id,
            lost,
        })
    }

    /// Reserves memory for a part of a response of `total` bytes.
    pub fn reserve_response(self: &Rc<Self>, bytes: usize, total: usize) -> Option<ResponseRoom> {
        let now = self.now();
        let decision = self.budget.borrow_mut().reserve_response(bytes, total, now);
        let is_granted = self.apply(decision);
        is_granted.then(|| ResponseRoom {
            room: Rc::clone(self),
            bytes,
        })
    }

    /// Counts a response that is in memory already.
    pub fn hold_response(self: &Rc<Self>, bytes: usize) -> ResponseRoom {
        self.budget.borrow_mut().hold_response(bytes);
        ResponseRoom {
            room: Rc::clone(self),
            bytes,
        }
    }

    /// Wakes the readers of the bodies that lost their room.
    fn apply(&self, decision: RoomDecision) -> bool {
        for id in decision.dropped {
            self.count_refusal(RoomRefusal::Displaced);
            if let Some(lost) = self.readers.borrow_mut().remove(&id) {
                lost.notify_one();
            }
        }
        decision.is_granted
    }
}

/// The reservation of a request body; it is returned on drop.
#[derive(Debug)]
pub struct BodyRoom {
    room: Rc<MemoryRoom>,
    id: BodyId,
    lost: Rc<Notify>,
}

impl BodyRoom {
    /// Reserves room for more bytes of the body.
    pub fn grow(&self, bytes: usize) -> bool {
        let now = self.room.now();
        let decision = self.room.budget.borrow_mut().grow_body(self.id, bytes, now);
        let is_granted = self.room.apply(decision);
        if !is_granted {
            self.room.count_refusal(RoomRefusal::Arriving);
        }
        is_granted
    }

    /// Records that the body arrived completely. Returns false if it has lost its room.
    pub fn complete(&self) -> bool {
        self.room.budget.borrow_mut().complete_body(self.id)
    }

    /// Completes once the body has lost its room.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        self.room.readers.borrow_mut().remove(&self.id);
        self.room.budget.borrow_mut().close_body(self.id);
    }
}

/// The reservation of a part of a response; it is returned on drop.
#[derive(Debug)]
pub struct ResponseRoom {
    room: Rc<MemoryRoom>,
    bytes: usize,
}

impl Drop for ResponseRoom {
    fn drop(&mut self) {
        self.room.budget.borrow_mut().return_response(self.bytes);
    }
}
