//! Bounds on what the answers of upstreams hold in memory.
//!
//! An upstream in trouble may send bytes without end. Each answer has a bound of its own, and beyond
//! a small part that is always allowed, all answers together have one that follows the instance's
//! memory.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest whole answer, and largest event of a stream, in bytes.
pub const RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Largest body of a refusal that is read so that its connection can be used again, in bytes.
pub const REFUSAL_BODY_BYTES_MAX: usize = 64 * 1024;
/// Bytes that each answer may hold whatever the others hold.
const ANSWER_FREE: usize = 64 * 1024;
/// Part of the instance's memory for all answers together.
const MEMORY_PART: usize = 8;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The connection broke.
    Broken,
    /// The body is larger than allowed.
    TooLarge,
}

impl std::error::Error for Error {}

/// Memory that the answers of an instance share.
#[derive(Debug)]
pub struct MemoryBudget {
    held: AtomicUsize,
    max: usize,
}

/// What one answer holds of the shared memory. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Memory for answers on an instance that has `total` bytes.
    #[must_use]
    pub fn for_instance(total: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            held: AtomicUsize::new(0),
            max: total / MEMORY_PART,
        })
    }

    /// An answer that holds nothing yet.
    #[must_use]
    pub fn new_reservation(self: &Arc<MemoryBudget>) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Makes the answer hold `size` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the answer or all of them together would hold too much.
    pub fn resize(&mut self, size: usize) -> Result<(), Error> {
        if size > RESPONSE_BYTES_MAX {
            return Err(Error::TooLarge);
        }
        self.shrink(size);
        let wanted = size.saturating_sub(ANSWER_FREE);
        let more = wanted.saturating_sub(self.bytes);
        let held = &self.memory.held;
        if held.fetch_add(more, Ordering::Relaxed) + more > self.memory.max {
            held.fetch_sub(more, Ordering::Relaxed);
            return Err(Error::TooLarge);
        }
        self.bytes = self.bytes.max(wanted);
        Ok(())
    }

    /// Gives back what the answer holds beyond `size` bytes.
    pub fn shrink(&mut self, size: usize) {
        let wanted = size.saturating_sub(ANSWER_FREE).min(self.bytes);
        let held = &self.memory.held;
        held.fetch_sub(self.bytes - wanted, Ordering::Relaxed);
        self.bytes = wanted;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body of at most `max` bytes to its end.
///
/// # Errors
///
/// Fails when it breaks or is too large.
pub async fn collect(
    mut body: Incoming,
    memory: &Arc<MemoryBudget>,
    max: usize,
) -> Result<Bytes, Error> {
    let mut held = memory.new_reservation();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Broken)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let size = bytes.len() + data.len();
        if size > max {
            return Err(Error::TooLarge);
        }
        held.resize(size)?;
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}
