//! Memory that answers share.

use node::buffer::Error;
use node::buffer::MemoryBudget;
use node::buffer::RESPONSE_BYTES_MAX;
use node::buffer::Reservation;

/// Memory of the users' smallest instances, in bytes.
const INSTANCE: usize = 160_000_000;
/// Part of it that answers may take.
const MAX: usize = INSTANCE / 8;
/// An ordinary answer, in bytes.
const ORDINARY: usize = 800;

fn fill(memory: &std::sync::Arc<MemoryBudget>, count: usize) -> (Vec<Reservation>, usize) {
    let mut held = Vec::new();
    let mut taken = 0;
    for _ in 0..count {
        let mut answer = memory.new_reservation();
        let mut size = 0;
        while size < RESPONSE_BYTES_MAX && answer.resize(size + 16 * 1024).is_ok() {
            size += 16 * 1024;
        }
        taken += size;
        held.push(answer);
    }
    (held, taken)
}

/// Guards against many endless answers at once that together take the memory of an instance.
#[test]
fn many_endless_answers_leave_memory_to_the_others() {
    let memory = MemoryBudget::for_instance(INSTANCE);
    let (held, taken) = fill(&memory, 100);
    assert!(taken <= MAX + 100 * 64 * 1024, "{taken} bytes");
    let mut ordinary = memory.new_reservation();
    assert_eq!(ordinary.resize(ORDINARY), Ok(()));
    assert_eq!(
        memory.new_reservation().resize(1024 * 1024),
        Err(Error::TooLarge)
    );
    drop(held);
    assert_eq!(memory.new_reservation().resize(1024 * 1024), Ok(()));
}

/// Guards against one answer that takes what is left for all.
#[test]
fn one_answer_is_bounded() {
    let memory = MemoryBudget::for_instance(INSTANCE);
    let (_held, taken) = fill(&memory, 1);
    assert!(taken <= RESPONSE_BYTES_MAX, "{taken} bytes");
    assert_eq!(
        memory.new_reservation().resize(RESPONSE_BYTES_MAX + 1),
        Err(Error::TooLarge)
    );
}

/// Guards against events that were passed on and count for as long as their stream lives.
#[test]
fn what_was_passed_on_is_given_back() {
    let memory = MemoryBudget::for_instance(INSTANCE);
    let mut streams: Vec<Reservation> = (0..200).map(|_| memory.new_reservation()).collect();
    for _ in 0..3 {
        for stream in &mut streams {
            assert_eq!(stream.resize(1024 * 1024), Ok(()));
            stream.shrink(0);
        }
    }
}
