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
const UNBUDGETED_RESPONSE_BYTES: usize = 64 * 1024;
/// Part of the instance's memory for all answers together.
const BUDGET_DIVISOR: usize = 8;

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
    reserved: AtomicUsize,
    max: usize,
}

/// What one answer holds of the shared memory. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Memory for answers on an instance that has `total` bytes.
    #[must_use]
    pub fn for_instance(total: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            reserved: AtomicUsize::new(0),
            max: total / BUDGET_DIVISOR,
        })
    }

    /// An answer that holds nothing yet.
    #[must_use]
    pub fn new_reservation(self: &Arc<MemoryBudget>) -> Reservation {
        Reservation {
            budget: self.clone(),
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
        let budgeted = size.saturating_sub(UNBUDGETED_RESPONSE_BYTES);
        let additional = budgeted.saturating_sub(self.bytes);
        let reserved = &self.budget.reserved;
        if reserved.fetch_add(additional, Ordering::Relaxed) + additional > self.budget.max {
            reserved.fetch_sub(additional, Ordering::Relaxed);
            return Err(Error::TooLarge);
        }
        self.bytes = self.bytes.max(budgeted);
        Ok(())
    }

    /// Gives back what the answer holds beyond `size` bytes.
    pub fn shrink(&mut self, size: usize) {
        let budgeted = size
            .saturating_sub(UNBUDGETED_RESPONSE_BYTES)
            .min(self.bytes);
        let reserved = &self.budget.reserved;
        reserved.fetch_sub(self.bytes - budgeted, Ordering::Relaxed);
        self.bytes = budgeted;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body of at most `max` bytes to its end.
///
/// # Errors
///
/// Fails when it breaks or is too large.
pub async fn collect(
    mut body: Incoming,
    budget: &Arc<MemoryBudget>,
    max: usize,
) -> Result<Bytes, Error> {
    let mut reservation = budget.new_reservation();
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
        reservation.resize(size)?;
        bytes.extend_from_slice(data);
    }
    Ok(bytes.freeze())
}
