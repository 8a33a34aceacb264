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

/// Guards against answers that leave the account while slow clients have not read them.
#[test]
fn an_answer_counts_until_it_is_dropped() {
    let budget = MemoryBudget::for_instance(INSTANCE_BYTES);
    let mut answer = budget.new_reservation();
    answer.resize(BODY_BYTES_MAX).expect("room");
    let events = answer.split_off(BODY_BYTES_MAX / 2);
    let events = events.attach(bytes::Bytes::from_static(b"events"));
    let copy = events.clone();
    drop((answer, events));
    let (rest, reserved_bytes) = fill(&budget, 10);
    assert!(
        reserved_bytes <= BUDGET_BYTES - BODY_BYTES_MAX / 2 + 10 * 64 * 1024,
        "{reserved_bytes} bytes"
    );
    drop((rest, copy));
    let (_rest, reserved_bytes) = fill(&budget, 10);
    assert!(
        reserved_bytes > BUDGET_BYTES - 1024 * 1024,
        "{reserved_bytes} bytes"
    );
}

/// Guards against refusing ordinary bodies while slow clients hold the memory, and against granting
/// more than what is freed for them.
#[test]
fn a_full_budget_takes_from_slow_clients() {
    let budget = MemoryBudget::for_instance(INSTANCE_BYTES);
    let (reservations, _) = fill(&budget, 100);
    let freed = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let to_free = freed.clone();
    budget.set_reclaim(move |_| to_free.load(std::sync::atomic::Ordering::Relaxed));
    let mut body = budget.new_reservation();
    assert_eq!(body.resize(1024 * 1024), Err(Error::TooLarge));
    freed.store(2 * 1024 * 1024, std::sync::atomic::Ordering::Relaxed);
    assert_eq!(body.resize(1024 * 1024), Ok(()));
    drop((reservations, body));
    assert_eq!(budget.new_reservation().resize(1024 * 1024), Ok(()));
}
