//! Memory limits for buffered bodies: those of requests and of upstreams' responses.
//!
//! A faulty upstream may send an endless response, and many clients may send long requests at once.
//! Each body has a limit of its own. What it buffers beyond a small allowance also counts against a
//! budget that all bodies share and that is proportional to the instance's memory.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest body that is buffered whole, and largest event of a stream, in bytes.
pub const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Largest body of a refusal that is read to make its connection reusable, in bytes.
pub const REFUSAL_BODY_BYTES_MAX: usize = 16 * 1024;
/// Bytes of each body that don't count against the shared budget.
const UNBUDGETED_BYTES: usize = 16 * 1024;
/// The shared budget is the instance's memory divided by this.
const BUDGET_DIVISOR: usize = 8;

/// Why a body was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The connection broke.
    Broken,
    /// The body exceeds its own limit or the shared budget.
    TooLarge,
}

impl std::error::Error for Error {}

/// Frees at least a number of bytes of the budget, soon; returns how many will be freed.
type Reclaim = Box<dyn Fn(usize) -> usize + Send + Sync>;

/// Memory budget that all buffered bodies of an instance share, with the heads of requests and the
/// responses that clients have not read yet.
pub struct MemoryBudget {
    reserved: AtomicUsize,
    max: usize,
    reclaim: OnceLock<Reclaim>,
}

impl std::fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryBudget")
            .field("reserved", &self.reserved)
            .field("max", &self.max)
            .finish_non_exhaustive()
    }
}

/// The part of the budget that one body has reserved. Dropping it releases the bytes.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// The budget of an instance with `total` bytes of memory.
    #[must_use]
    pub fn for_instance(total: usize) -> Arc<MemoryBudget> {
        Arc::new(MemoryBudget {
            reserved: AtomicUsize::new(0),
            max: total / BUDGET_DIVISOR,
            reclaim: OnceLock::new(),
        })
    }

    /// Sets what frees bytes when the budget is used up. Only the first call has an effect.
    pub fn set_reclaim(&self, reclaim: impl Fn(usize) -> usize + Send + Sync + 'static) {
        let _ = self.reclaim.set(Box::new(reclaim));
    }

    /// Whether `excess` bytes beyond the budget will be freed soon.
    fn can_reclaim(&self, excess: usize) -> bool {
        let reclaim = self.reclaim.get();
        reclaim.is_some_and(|it| it(excess) >= excess)
    }

    /// A reservation of zero bytes for a new body.
    #[must_use]
    pub fn new_reservation(self: &Arc<MemoryBudget>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Adjusts the reservation to a body that buffers `size` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the body or the shared budget would exceed its limit.
    pub fn resize(&mut self, size: usize) -> Result<(), Error> {
        if size > BODY_BYTES_MAX {
            return Err(Error::TooLarge);
        }
        self.shrink(size);
        let budgeted = size.saturating_sub(UNBUDGETED_BYTES);
        let additional = budgeted.saturating_sub(self.bytes);
        let reserved = &self.budget.reserved;
        let total = reserved.fetch_add(additional, Ordering::Relaxed) + additional;
        let excess = total.saturating_sub(self.budget.max);
        if additional > 0 && excess > 0 && !self.budget.can_reclaim(excess) {
            reserved.fetch_sub(additional, Ordering::Relaxed);
            return Err(Error::TooLarge);
        }
        self.bytes = self.bytes.max(budgeted);
        Ok(())
    }

    /// Appends to a buffer that grows by doubling, and adjusts the reservation to what it allocates.
    ///
    /// # Errors
    ///
    /// [`Error::TooLarge`] if the body or the shared budget would exceed its limit.
    pub fn append(&mut self, buffer: &mut BytesMut, data: &[u8]) -> Result<(), Error> {
        let size = buffer.len() + data.len();
        let capacity = match size > buffer.capacity() {
            true => size.checked_next_power_of_two().ok_or(Error::TooLarge)?,
            false => buffer.capacity(),
        };
        self.resize(capacity)?;
        buffer.reserve(capacity - buffer.len());
        buffer.extend_from_slice(data);
        Ok(())
    }

    /// Splits off what was reserved beyond a body that buffers `size` bytes.
    #[must_use]
    pub fn split_off(&mut self, size: usize) -> Reservation {
        let budgeted = size.saturating_sub(UNBUDGETED_BYTES).min(self.bytes);
        let rest = Reservation {
            budget: self.budget.clone(),
            bytes: self.bytes - budgeted,
        };
        self.bytes = budgeted;
        rest
    }

    /// Keeps the reservation until `bytes` are dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _reservation: self,
        })
    }

    /// Releases what was reserved beyond a body that buffers `size` bytes.
    pub fn shrink(&mut self, size: usize) {
        let budgeted = size.saturating_sub(UNBUDGETED_BYTES).min(self.bytes);
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

/// Bytes with what they take of the budget.
struct Held {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `max` bytes to its end, within the shared budget, which counts it until
/// the bytes are dropped.
///
/// # Errors
///
/// Fails if the connection breaks, or if the body exceeds `max` or the budget.
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
        reservation.append(&mut bytes, data)?;
    }
    Ok(reservation.attach(bytes.freeze()))
}
