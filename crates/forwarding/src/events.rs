//! The events of a stream, as bytes: which of them may follow one another.
//!
//! A faulty upstream may write a second response into the body of the first. Its bytes can look
//! like events, so a stream goes on only with events that continue it.

use memchr::memmem;

/// End of each event.
pub const TERMINATOR: &[u8] = b"\n\n";
/// Beginning of the status line of a response.
const STATUS_LINE: &[u8] = b"HTTP/";

/// Position in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// Id of the last event that had one.
    pub last_event: Option<u64>,
}

impl Sequence {
    /// Follows complete events; returns the length of those that continue the stream.
    ///
    /// Once an event had an id, all later ones need a higher id, except comments.
    pub fn follow(&mut self, events: &[u8]) -> usize {
        let mut length = 0;
        while let Some(end) = end_of_event(&events[length..]) {
            let event = &events[length..length + end];
            if has_status_line(event) {
                break;
            }
            let id = ids(event).next_back();
            let is_next = match (id, self.last_event) {
                (Some(id), Some(last)) => id > last,
                (None, Some(_)) => is_comment(event),
                (_, None) => true,
            };
            if !is_next {
                break;
            }
            self.last_event = id.or(self.last_event);
            length += end;
        }
        length
    }
}

/// Id of the first event that has one.
#[must_use]
pub fn first_id(events: &[u8]) -> Option<u64> {
    ids(events).next()
}

/// Numeric ids of `events`, from their `id:` lines.
fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = u64> {
    let values = lines(events).filter_map(|it| it.strip_prefix(b"id:"));
    values.filter_map(|it| std::str::from_utf8(it).ok()?.trim().parse().ok())
}

fn lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    events.split(|it| *it == b'\n')
}

fn end_of_event(events: &[u8]) -> Option<usize> {
    let start = memmem::find(events, TERMINATOR)?;
    Some(start + TERMINATOR.len())
}

fn has_status_line(event: &[u8]) -> bool {
    lines(event).any(|it| it.starts_with(STATUS_LINE))
}

fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|it| it.is_empty() || it.starts_with(b":"))
}
