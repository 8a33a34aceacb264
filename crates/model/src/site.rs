//! Sites: step services and the kinds of request that use them.

use std::time::Duration;

use base::id;
use catalog::BatchLimits;

/// A service that runs steps.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceModel {
    /// Name of the service.
    pub name: id::Service,
    /// Limits and expected times of each upstream.
    pub batch_limits: BatchLimits,
    /// Zone of each upstream.
    pub zones: Vec<id::Zone>,
}

/// A step of a kind of request, run by one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestStep {
    /// Index of the service in [`Site::services`].
    pub service: usize,
    /// Index in [`RequestKind::steps`] of the step whose results it reads, if any.
    pub after: Option<usize>,
    /// Average number of pieces.
    pub pieces: f64,
    /// Share of requests that have the step, from 0 to 1.
    pub share: f64,
    /// Factor on the service's time per piece.
    pub work: f64,
    /// Size of one result in bytes.
    pub result_bytes: u64,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestKind {
    /// Name of the kind.
    pub name: &'static str,
    /// Average number of requests per second.
    pub rate: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time after arrival until which a response has its full value.
    pub soft_deadline: Duration,
    /// Time after arrival at which the client gives up.
    pub deadline: Duration,
    /// Value of a response before the soft deadline, and of one between it and the deadline.
    pub value: (f64, f64),
    /// Steps, each after the one whose results it reads.
    pub steps: Vec<RequestStep>,
}

/// A deployment with its traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Services that run steps.
    pub services: Vec<ServiceModel>,
    /// Kinds of request that clients send.
    pub kinds: Vec<RequestKind>,
    /// Time from the last step to the first event of a response.
    pub time_after_steps: Duration,
}

const DEFAULT_STEP: RequestStep = RequestStep {
    service: 0,
    after: None,
    pieces: 1.0,
    share: 1.0,
    work: 1.0,
    result_bytes: 8_000,
};

/// Retrieval of documents for the engine, with large results.
const RETRIEVAL_STEP: RequestStep = RequestStep {
    pieces: 2.5,
    share: 0.7,
    result_bytes: 1_500_000,
    ..DEFAULT_STEP
};

/// Three steps, each of which reads the results of the one before. `first_idx` is the index of the
/// first within its kind, `second_pieces` the average number of pieces of the second.
fn step_chain(first_idx: usize, second_pieces: f64) -> [RequestStep; 3] {
    [
        RequestStep {
            work: 0.3,
            ..DEFAULT_STEP
        },
        RequestStep {
            service: 1,
            after: Some(first_idx),
            pieces: second_pieces,
            result_bytes: 60_000,
            ..DEFAULT_STEP
        },
        RequestStep {
            service: 2,
            after: Some(first_idx + 1),
            pieces: 10.0,
            result_bytes: 6_000,
            ..DEFAULT_STEP
        },
    ]
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn service(
    name: &str,
    batch_max: usize,
    piece_ms: f64,
    result_capacity_mb: f64,
    zones: &[&str],
) -> ServiceModel {
    ServiceModel {
        name: parse_name(name),
        batch_limits: BatchLimits {
            slots: 1,
            batch_max,
            call_overhead: Duration::from_millis(200),
            piece_time: Duration::from_secs_f64(piece_ms / 1e3),
            result_capacity: (result_capacity_mb * 1e6) as u64,
            result_ttl: Duration::from_secs(4),
        },
        zones: zones.iter().map(|it| parse_name(it)).collect(),
    }
}

/// The fee office: three step services and the three kinds of request that have steps.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn fee_office() -> Site {
    let zones = ["olympia", "olympia", "tacoma", "spokane", "yakima"];
    let mut answer = vec![RequestStep {
        pieces: 1.5,
        share: 0.4,
        ..RETRIEVAL_STEP
    }];
    answer.extend(step_chain(1, 6.0));
    Site {
        services: vec![
            service("docket", 12, 14.0, 27.0, &zones),
            service("notices", 36, 4.8, 4.9, &zones),
            service("warrants", 62, 2.8, 0.81, &zones),
        ],
        kinds: vec![
            kind(
                "waiver-draft",
                22.2,
                1,
                (1_100, 6_000),
                (3.4, 0.51),
                vec![RETRIEVAL_STEP],
            ),
            kind(
                "history-summary",
                25.4,
                0,
                (2_000, 6_000),
                (2.0, 0.3),
                step_chain(0, 6.0).to_vec(),
            ),
            kind(
                "payer-answer",
                16.9,
                2,
                (1_900, 20_000),
                (0.65, 0.098),
                answer,
            ),
        ],
        time_after_steps: Duration::from_millis(250),
    }
}

/// The supplement shop: three step services and the three kinds of request that have steps.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn supplement_shop() -> Site {
    let zones = ["north-a", "north-a", "north-b", "north-b", "north-c"];
    let six_zones = [
        "north-a", "north-a", "north-b", "north-b", "north-c", "north-c",
    ];
    let mut review = vec![RequestStep {
        pieces: 1.5,
        share: 0.4,
        ..RETRIEVAL_STEP
    }];
    review.extend(step_chain(1, 4.0));
    Site {
        services: vec![
            service("catalog", 8, 21.0, 18.0, &six_zones),
            service("members", 20, 8.6, 2.5, &zones),
            service("dispatch", 48, 3.6, 0.63, &zones),
        ],
        kinds: vec![
            kind(
                "interaction-review",
                15.1,
                1,
                (2_300, 8_000),
                (3.6, 0.54),
                review,
            ),
            kind(
                "label-summary",
                17.8,
                0,
                (2_000, 6_000),
                (2.0, 0.3),
                step_chain(0, 4.0).to_vec(),
            ),
            kind(
                "member-chat",
                14.9,
                2,
                (1_000, 15_000),
                (0.54, 0.081),
                vec![RETRIEVAL_STEP],
            ),
        ],
        time_after_steps: Duration::from_millis(250),
    }
}

/// The sorting office: its most urgent kind has a chain of three steps, for which its aim leaves little
/// time, and shares the service of the first one with a less urgent kind that has this step alone.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn sorting_office() -> Site {
    let zone = ["a"; 5];
    Site {
        services: vec![
            service("scans", 12, 14.0, 27.0, &zone),
            service("notices", 60, 2.9, 8.0, &zone),
            service("routes", 84, 2.0, 1.1, &zone),
        ],
        kinds: vec![
            kind(
                "parcel-quote",
                25.0,
                0,
                (1_500, 6_000),
                (3.0, 0.45),
                step_chain(0, 6.0).to_vec(),
            ),
            kind(
                "label-check",
                40.0,
                1,
                (1_500, 6_000),
                (1.0, 0.15),
                vec![RequestStep {
                    pieces: 2.0,
                    ..DEFAULT_STEP
                }],
            ),
        ],
        time_after_steps: Duration::from_millis(250),
    }
}

/// One zone of the fee office after growth. The zone is a shard: the site has the upstreams of that
/// zone alone and its share of the traffic.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn fee_office_zone() -> Site {
    let original = fee_office();
    let [mut waiver, mut history, mut payer] =
        <[RequestKind; 3]>::try_from(original.kinds).expect("three kinds");
    (waiver.rate, waiver.value, waiver.soft_deadline) =
        (45.7, (3.1, 0.46), Duration::from_millis(1_400));
    (history.rate, history.value) = (50.3, (1.9, 0.28));
    (payer.rate, payer.value) = (12.3, (1.4, 0.21));
    let zone = ["yakima"; 5];
    Site {
        services: vec![
            service("docket", 18, 9.5, 40.0, &zone),
            service("notices", 60, 2.9, 8.0, &zone[..4]),
            service("warrants", 84, 2.0, 1.1, &zone),
        ],
        kinds: vec![waiver, history, payer],
        time_after_steps: original.time_after_steps,
    }
}

fn kind(
    name: &'static str,
    rate: f64,
    priority: u8,
    (soft_deadline, deadline): (u64, u64),
    value: (f64, f64),
    steps: Vec<RequestStep>,
) -> RequestKind {
    RequestKind {
        name,
        rate,
        priority,
        soft_deadline: Duration::from_millis(soft_deadline),
        deadline: Duration::from_millis(deadline),
        value,
        steps,
    }
}
