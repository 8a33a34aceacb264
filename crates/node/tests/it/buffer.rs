//! The memory budget for buffered responses.

use node::buffer::BODY_BYTES_MAX;
use node::buffer::Error;
use node::buffer::MemoryBudget;
use node::buffer::Reservation;

/// Memory of the users' smallest instances, in bytes.
const INSTANCE_BYTES: usize = 160_000_000;
/// Part of it that buffered responses may take together, in bytes.
const BUDGET_BYTES: usize = INSTANCE_BYTES / 8;
/// Size of an ordinary response.
const ORDINARY_RESPONSE_BYTES: usize = 800;

/// Grows `count` responses until each meets a limit; returns their reservations and total size.
fn fill(budget: &std::sync::Arc<MemoryBudget>, count: usize) -> (Vec<Reservation>, usize) {
    let mut reservations = Vec::new();
    let mut reserved_bytes = 0;
    for _ in 0..count {
        let mut reservation = budget.new_reservation();
        let mut size = 0;
        while size < BODY_BYTES_MAX && reservation.resize(size + 16 * 1024).is_ok() {
            size += 16 * 1024;
        }
        reserved_bytes += size;
        reservations.push(reservation);
    }
    (reservations, reserved_bytes)
}

/// Guards against many concurrent endless responses that together exhaust an instance's memory.
#[test]
fn many_endless_responses_leave_memory_to_ordinary_ones() {
    let budget = MemoryBudget::for_instance(INSTANCE_BYTES);
    let (reservations, reserved_bytes) = fill(&budget, 100);
    assert!(
        reserved_bytes <= BUDGET_BYTES + 100 * 64 * 1024,
        "{reserved_bytes} bytes"
    );
    let mut ordinary = budget.new_reservation();
    assert_eq!(ordinary.resize(ORDINARY_RESPONSE_BYTES), Ok(()));
    assert_eq!(
        budget.new_reservation().resize(1024 * 1024),
        Err(Error::TooLarge)
    );
    drop(reservations);
    assert_eq!(budget.new_reservation().resize(1024 * 1024), Ok(()));
}

/// Guards against one response that uses up the shared budget.
#[test]
fn one_response_is_bounded() {
    let budget = MemoryBudget::for_instance(INSTANCE_BYTES);
    let (_reservations, reserved_bytes) = fill(&budget, 1);
    assert!(reserved_bytes <= BODY_BYTES_MAX, "{reserved_bytes} bytes");
    assert_eq!(
        budget.new_reservation().resize(BODY_BYTES_MAX + 1),
        Err(Error::TooLarge)
    );
}

/// Guards against events that were passed on but count against the budget until their stream ends.
#[test]
fn events_that_were_passed_on_release_their_memory() {
    let budget = MemoryBudget::for_instance(INSTANCE_BYTES);
    let mut streams: Vec<Reservation> = (0..200).map(|_| budget.new_reservation()).collect();
    for _ in 0..3 {
        for stream in &mut streams {
            assert_eq!(stream.resize(1024 * 1024), Ok(()));
            stream.shrink(0);
        }
    }
}
