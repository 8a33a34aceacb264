//! Which events continue a stream.

use forwarding::events::Sequence;

macro_rules! sequences {
    ($($name:ident: $events:expr => $followed:expr, $last:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let events: &str = $events;
                let mut sequence = Sequence::default();
                let length = sequence.follow(events.as_bytes());
                assert_eq!(&events[..length], $followed);
                assert_eq!(sequence.last_event, $last);
            }
        )*
    };
}

sequences! {
    events_in_order: "id: 3\ndata: a\n\nid: 4\ndata: b\n\n" => "id: 3\ndata: a\n\nid: 4\ndata: b\n\n", Some(4);
    an_incomplete_event_is_left: "id: 1\ndata: a\n\nid: 2\nda" => "id: 1\ndata: a\n\n", Some(1);
    events_without_ids: "data: a\n\ndata: b\n\n" => "data: a\n\ndata: b\n\n", None;
    comments_between_events: "id: 1\n\n: keep-alive\n\nid: 2\n\n" => "id: 1\n\n: keep-alive\n\nid: 2\n\n", Some(2);
    other_fields_before_the_id: "id: 1\n\nversions: 7\nid: 2\n\n" => "id: 1\n\nversions: 7\nid: 2\n\n", Some(2);
    an_event_that_comes_twice: "id: 1\n\nid: 1\n\n" => "id: 1\n\n", Some(1);
    an_event_without_an_id_after_one_with_an_id: "id: 1\n\nevent: error\n\nid: 2\n\n" => "id: 1\n\n", Some(1);
    a_head_before_the_next_event: "id: 1\n\nHTTP/1.1 200 OK\r\n\r\nid: 2\n\n" => "id: 1\n\n", Some(1);
    a_head_at_the_beginning: "HTTP/1.1 200 OK\r\n\r\nid: 1\n\n" => "", None;
}

#[test]
fn a_sequence_goes_on_where_it_was() {
    let mut sequence = Sequence {
        last_event: Some(2),
    };
    assert_eq!(sequence.follow(b"id: 3\n\n"), 7);
    assert_eq!(sequence.follow(b"id: 2\n\n"), 0);
}
