//! A request body of unknown length while it arrives.

use bytes::{Bytes, BytesMut};

/// Size of the parts. A single growing buffer would take up to three times the body while it grows.
const PART_BYTES: usize = 64 << 10;

/// The parts of a body, joined at its end.
#[derive(Debug, Default)]
pub struct BodyParts {
    full: Vec<Bytes>,
    /// Sum of `full`.
    full_bytes: usize,
    last: BytesMut,
}

impl BodyParts {
    pub fn len(&self) -> usize {
        self.full_bytes + self.last.len()
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.last.extend_from_slice(bytes);
        if self.last.len() >= PART_BYTES {
            let part = std::mem::take(&mut self.last).freeze();
            self.full_bytes += part.len();
            self.full.push(part);
        }
    }

    pub fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut body = BytesMut::with_capacity(self.len());
        for part in self.full {
            body.extend_from_slice(&part);
        }
        body.extend_from_slice(&self.last);
        body.freeze()
    }
}
