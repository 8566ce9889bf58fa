//! Memory for response bodies that are buffered before they are passed on.
//!
//! An upstream in trouble may send a body without end. Several of them at once must not use up the
//! memory of the process, nor the room that other calls need.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::forward::memory_room::{MemoryRoom, ResponseRoom, RoomRefusal};

/// Largest body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Size up to which a body doesn't count, so that common responses always find room.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Sum of all bodies, above what isn't counted, also where the settings name no memory. A growing
/// buffer may take twice its content.
const MAX_TOTAL_BYTES: usize = 48 << 20;

/// The bytes that the bodies of a traffic thread have reserved.
#[derive(Clone, Debug, Default)]
pub struct BodyBudget {
    reserved: Rc<Cell<usize>>,
    /// The budget of the process, of which these bodies are a part.
    memory: Option<Rc<MemoryRoom>>,
}

impl BodyBudget {
    /// Creates a budget whose bodies are also reserved in that of the process.
    pub fn within(memory: Rc<MemoryRoom>) -> Self {
        Self {
            reserved: Rc::default(),
            memory: Some(memory),
        }
    }

    /// Returns the reservation of an empty body.
    pub fn open(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            counted: 0,
            rooms: Vec::new(),
        }
    }

    /// Reads a body whose chunks `next` returns, up to `None` at its end. Fails with `too_large` if it
    /// does not fit.
    pub async fn read_body<E, F>(&self, mut next: F, too_large: E) -> Result<Bytes, E>
    where
        F: AsyncFnMut() -> Result<Option<Bytes>, E>,
    {
        let mut body = BytesMut::new();
        let mut reservation = self.open();
        while let Some(bytes) = next().await? {
            if !reservation.grow_to(body.len() + bytes.len()) {
                return Err(too_large);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }
}

/// The part of the budget that one body has reserved; it is returned on drop.
#[derive(Debug)]
pub struct BodyReservation {
    budget: BodyBudget,
    counted: usize,
    /// Reservations in the budget of the process.
    rooms: Vec<ResponseRoom>,
}

impl BodyReservation {
    /// Extends the reservation to a body of `bytes`. Returns false if the body becomes too large, or
    /// larger than what would be left beside it: so the largest bodies are refused first, and the
    /// others still find room.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES).max(self.counted);
        let others = self.budget.reserved.get() - self.counted;
        let is_fair = others + 2 * counted <= MAX_TOTAL_BYTES;
        let fits = bytes <= MAX_BODY_BYTES
            && (counted == 0 || is_fair)
            && self.reserve(counted - self.counted, bytes);
        if fits {
            self.budget.reserved.set(others + counted);
            self.counted = counted;
        }
        fits
    }

    /// Reserves `more` bytes of a body of `total` in the budget of the process. A growing buffer may
    /// take twice its content.
    fn reserve(&mut self, more: usize, total: usize) -> bool {
        let Some(memory) = &self.budget.memory else {
            return true;
        };
        if more == 0 {
            return true;
        }
        let room = memory.reserve_response(2 * more, total);
        if room.is_none() {
            memory.count_refusal(RoomRefusal::Response);
        }
        let is_granted = room.is_some();
        self.rooms.extend(room);
        is_granted
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let reserved = self.budget.reserved.get();
        self.budget.reserved.set(reserved - self.counted);
    }
}
