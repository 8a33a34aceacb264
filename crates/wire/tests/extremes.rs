//! Whatever another instance sends, decoding neither panics nor yields a number that overflows where
//! it is used.

use std::time::Duration;

use base::id;
use forwarding::origin;
use forwarding::poison::Evidence;
use forwarding::poison::Loss;
use forwarding::quota::pool::Decision;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use wire::Reply;
use wire::Request;
use wire::codec;
use wire::message;
use wire::steps;
use wire::tunnel;

/// Far above each time on the users' pages, and far from the end of the clock.
const SECONDS_MAX: u64 = 24 * 3_600;

fn decode<T: DeserializeOwned>(message: &impl Serialize) -> Result<T, postcard::Error> {
    let frame = codec::encode(message).expect("a frame");
    postcard::from_bytes(&frame[4..])
}

/// Seconds of the longest time in the JSON form of a message.
fn longest(value: &Value) -> u64 {
    let inner = match value {
        Value::Object(fields) => fields.values().map(longest).max(),
        Value::Array(items) => items.iter().map(longest).max(),
        _ => None,
    };
    let seconds = value.get("secs").and_then(Value::as_u64);
    inner.max(seconds).unwrap_or_default()
}

/// Sends `message` through the codec, and checks that its times were bounded.
fn check<T: Serialize + DeserializeOwned>(message: &T) {
    let sent = serde_json::to_value(message).expect("JSON");
    assert_eq!(longest(&sent), u64::MAX, "no extreme time is sent");
    let decoded: T = decode(message).expect("a message");
    let decoded = serde_json::to_value(&decoded).expect("JSON");
    assert!(longest(&decoded) <= SECONDS_MAX, "{decoded}");
}

fn instance() -> id::Instance {
    "n0".parse().expect("an instance")
}

fn loss() -> Loss {
    Loss {
        fingerprint: id::Fingerprint(1),
        incarnation: "up@1".parse().expect("an incarnation"),
        depth: u32::MAX,
        evidence: Evidence::Deregistered,
        is_batched: false,
        parts: Vec::new(),
        age: Duration::MAX,
    }
}

fn news() -> message::News {
    message::News {
        age: Some(Duration::MAX),
        losses: vec![loss()],
        cleared: vec![(id::Fingerprint(1), Duration::MAX)],
        rate_limits: Vec::new(),
    }
}

fn prepare() -> steps::Prepare {
    steps::Prepare {
        shard: stages::Shard::Whole,
        request: instance().to_string(),
        fingerprint: id::Fingerprint(1),
        key: String::new(),
        zone: None,
        priority: u8::MAX,
        aim: Duration::MAX,
        deadline: Duration::MAX,
        tail: Duration::MAX,
        steps: Vec::new(),
        engines: steps::Engines {
            usual: Duration::MAX,
            ..steps::Engines::default()
        },
    }
}

fn origin() -> message::Origin {
    message::Origin {
        stream: id::Fingerprint(1),
        origin: origin::Origin {
            service: "s".parse().expect("a service"),
            software: "v".parse().expect("a version"),
        },
        remaining: Duration::MAX,
    }
}

macro_rules! bounded_times {
    ($($name:ident: $message:expr;)*) => {
        $(
            /// Guards against a time of another instance that ends a task of this one.
            #[test]
            fn $name() {
                check(&$message);
            }
        )*
    };
}

bounded_times! {
    times_of_a_request_for_steps: Request::Prepare(Box::new(prepare()));
    times_of_a_request_with_terms: Request::Schedule(Box::new(steps::Schedule {
        prepare: prepare(),
        terms: steps::Terms::default(),
    }));
    age_of_a_loss: Request::Losses(vec![loss()]);
    remaining_time_of_an_origin: Request::Origins(vec![origin()]);
    ages_of_news: Reply::Updates(Box::new(message::TablesUpdate {
        tables: Vec::new(),
        news: news(),
    }));
    wait_of_accepted_steps: Reply::Steps(steps::Progress::Accepted(Duration::MAX));
    wait_of_refused_steps: Reply::Steps(steps::Progress::TooLate(Duration::MAX));
    wait_of_a_denied_request: Reply::Admitted(Decision::Denied(Duration::MAX), None);
}

/// Guards against a rate of another instance that no text could state.
#[test]
fn a_rate_is_finite_and_not_negative() {
    #[derive(Serialize, Deserialize)]
    struct Wrapped(base::rate::Rate);
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(decode::<Wrapped>(&rate).is_err(), "{rate}");
    }
    assert!(decode::<Wrapped>(&2.5).is_ok());
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against panics and allocations by the lengths that a frame states.
    #[test]
    fn arbitrary_frames_are_decoded_without_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = postcard::from_bytes::<Request>(&bytes);
        let _ = postcard::from_bytes::<Reply>(&bytes);
        let _ = postcard::from_bytes::<tunnel::Open>(&bytes);
        let _ = postcard::from_bytes::<wire::member::Record>(&bytes);
    }

    /// Guards against the same behind the sound beginning of a message of each kind.
    #[test]
    fn frames_with_extreme_lengths_are_decoded_without_panic(
        kind in 0_u8..24,
        at in any::<usize>(),
        length in any::<u64>(),
    ) {
        let mut bytes = vec![kind];
        bytes.resize(1 + at % 12, 1);
        bytes.extend(postcard::to_stdvec(&length).expect("a number"));
        bytes.extend([1; 40]);
        let _ = postcard::from_bytes::<Request>(&bytes);
        let _ = postcard::from_bytes::<Reply>(&bytes);
    }
}
