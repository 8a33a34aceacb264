//! Answers that break off anywhere, and what another upstream answers in their place: clients get
//! the upstream's own whole answer, or see that it is not whole.

use platform_standin::upstream::Fault;

use crate::fixture::Fixture;

/// Headers of a request that an engine runs.
const PROMPT: [&str; 1] = ["x-prompt-prefix: a:30,b:20,c:10"];

/// Breaks a stream at its first engine and answers the resumed request with `fault` at the other.
/// The client may get only the first events of the stream, and no end unless it got them all.
async fn check_resumed(fault: Fault) {
    let fixture = Fixture::start(1).await;
    fixture.site.upstreams[2]
        .0
        .set_fault(Fault::ResetStream, None);
    fixture.site.upstreams[3].0.set_fault(fault, None);
    for request in 0..6 {
        let id = format!("r{request}");
        let response = fixture.send("POST /summary/1", &id, &PROMPT).await;
        let expected = fixture.expected_body("engine", &id);
        let text = String::from_utf8_lossy(&response.body);
        if response.status == 200 {
            assert!(expected.starts_with(&response.body), "{id}: {text}");
            assert!(
                !response.is_complete || response.body == expected,
                "{id}: {text}"
            );
        }
    }
}

macro_rules! resumed {
    ($($name:ident: $fault:expr;)*) => {
        $(
            /// Guards against bytes in the middle of a stream that are no events of it, and against
            /// a stream that ends early as if it were complete.
            #[tokio::test]
            async fn $name() {
                check_resumed($fault).await;
            }
        )*
    };
}

resumed! {
    a_stream_whose_next_upstream_fails_is_visibly_broken: Fault::Error;
    a_stream_whose_next_upstream_answers_with_a_text_is_visibly_broken: Fault::Text;
    a_stream_whose_next_upstream_answers_without_a_signature_is_visibly_broken: Fault::Unsigned;
    a_stream_whose_next_upstream_is_full_is_visibly_broken: Fault::Full;
    a_stream_whose_next_upstream_is_another_one_is_visibly_broken: Fault::Misdirected;
    a_stream_whose_next_upstream_compresses_is_visibly_broken: Fault::Encoded;
    a_stream_whose_next_upstream_answers_another_request_is_visibly_broken: Fault::ForeignAnswer;
    a_stream_whose_next_upstream_answers_twice_is_its_own: Fault::ExtraAnswer;
    a_stream_whose_next_upstream_answers_late_is_its_own: Fault::LateCopy;
    a_stream_whose_next_upstream_stops_in_its_head_is_visibly_broken: Fault::CutAt(60);
    a_stream_with_another_answer_inside_is_visibly_broken: Fault::AnswerInStream;
}

/// Length of an upstream's response to a request with an id of two characters, at least.
const RESPONSE_BYTES_MAX: usize = 420;

/// Cuts the answers of all upstreams of a service after each number of bytes.
async fn check_cuts(service: &str, target: &str, headers: &[&str]) {
    let fixture = Fixture::start(1).await;
    let mut whole = 0;
    for length in 0..RESPONSE_BYTES_MAX {
        fixture.set_fault(service, Fault::CutAt(length), None);
        let id = format!("r{length}");
        let response = fixture.send(target, &id, headers).await;
        let expected = fixture.expected_body(service, &id);
        let text = String::from_utf8_lossy(&response.body);
        if response.status == 200 {
            assert!(expected.starts_with(&response.body), "{length}: {text}");
            assert!(
                !response.is_complete || response.body == expected,
                "{length}: {text}"
            );
        }
        whole += usize::from(response.status == 200 && response.is_complete);
    }
    assert!(whole > 0, "no answer was whole");
}

/// Guards against an answer that breaks off in its head or body and is passed on as whole.
#[tokio::test]
async fn an_answer_that_breaks_off_is_not_whole() {
    check_cuts("ledger", "POST /post/1", &[]).await;
}

/// Guards against a stream that breaks off in its head, in an event, in the size of a chunk or in
/// the last one, and is passed on as whole.
#[tokio::test]
async fn a_stream_that_breaks_off_is_not_whole() {
    check_cuts("engine", "POST /report/1", &PROMPT).await;
}
