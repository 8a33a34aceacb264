//! Sites: services, and the kinds of request that need them.

use std::time::Duration;

use base::id;
use catalog::BatchLimits;

/// A service that runs steps.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceModel {
    /// Name.
    pub name: id::Service,
    /// Limits of one upstream.
    pub pool: BatchLimits,
    /// Zone of each upstream.
    pub zones: Vec<id::Zone>,
}

/// A step of a kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindStep {
    /// Index of the service.
    pub service: usize,
    /// The step whose results it reads.
    pub after: Option<usize>,
    /// Average number of pieces.
    pub pieces: f64,
    /// Share of requests that have the step.
    pub share: f64,
    /// Work of a piece over the service's stated one.
    pub work: f64,
    /// Size of one result in bytes.
    pub result_bytes: u64,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name.
    pub name: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time within which a response is of full worth.
    pub aim: Duration,
    /// Time after which the client gives up.
    pub deadline: Duration,
    /// Worth of a response within the aim, and after it.
    pub worth: (f64, f64),
    /// Steps.
    pub steps: Vec<KindStep>,
}

/// A site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Services.
    pub services: Vec<ServiceModel>,
    /// Kinds of request.
    pub kinds: Vec<Kind>,
    /// Time from the last step to the first event of a response.
    pub tail: Duration,
}

const STEP: KindStep = KindStep {
    service: 0,
    after: None,
    pieces: 1.0,
    share: 1.0,
    work: 1.0,
    result_bytes: 8_000,
};

/// Retrieved documents, which the engine reads.
const LARGE: KindStep = KindStep {
    pieces: 2.5,
    share: 0.7,
    result_bytes: 1_500_000,
    ..STEP
};

/// Three steps that each read the one before, the first of them in place `first` of its kind;
/// `middle` is the average number of pieces of the second.
fn chain(first: usize, middle: f64) -> [KindStep; 3] {
    [
        KindStep { work: 0.3, ..STEP },
        KindStep {
            service: 1,
            after: Some(first),
            pieces: middle,
            result_bytes: 60_000,
            ..STEP
        },
        KindStep {
            service: 2,
            after: Some(first + 1),
            pieces: 10.0,
            result_bytes: 6_000,
            ..STEP
        },
    ]
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a name of the model")
}

fn service(
    name_: &str,
    batch_max: usize,
    piece_ms: f64,
    room: f64,
    zones: &[&str],
) -> ServiceModel {
    ServiceModel {
        name: name(name_),
        pool: BatchLimits {
            slots: 1,
            batch_max,
            call_overhead: Duration::from_millis(200),
            piece_time: Duration::from_secs_f64(piece_ms / 1e3),
            result_capacity: (room * 1e6) as u64,
            result_ttl: Duration::from_secs(4),
        },
        zones: zones.iter().map(|it| name(it)).collect(),
    }
}

/// The fee office's three step services and three kinds of request with steps.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn fee_office() -> Site {
    let zones = ["olympia", "olympia", "tacoma", "spokane", "yakima"];
    let mut answer = vec![KindStep {
        pieces: 1.5,
        share: 0.4,
        ..LARGE
    }];
    answer.extend(chain(1, 6.0));
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
                vec![LARGE],
            ),
            kind(
                "history-summary",
                25.4,
                0,
                (2_000, 6_000),
                (2.0, 0.3),
                chain(0, 6.0).to_vec(),
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
        tail: Duration::from_millis(250),
    }
}

/// The supplement shop's three step services and three kinds of request with steps.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn supplement_shop() -> Site {
    let zones = ["north-a", "north-a", "north-b", "north-b", "north-c"];
    let six = [
        "north-a", "north-a", "north-b", "north-b", "north-c", "north-c",
    ];
    let mut review = vec![KindStep {
        pieces: 1.5,
        share: 0.4,
        ..LARGE
    }];
    review.extend(chain(1, 4.0));
    Site {
        services: vec![
            service("catalog", 8, 21.0, 18.0, &six),
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
                chain(0, 4.0).to_vec(),
            ),
            kind(
                "member-chat",
                14.9,
                2,
                (1_000, 15_000),
                (0.54, 0.081),
                vec![LARGE],
            ),
        ],
        tail: Duration::from_millis(250),
    }
}

/// One zone of the fee office after it has grown: a shard with its part of the traffic.
///
/// # Panics
///
/// Never: its names are valid.
#[must_use]
pub fn fee_office_zone() -> Site {
    let small = fee_office();
    let [mut waiver, mut history, mut payer] =
        <[Kind; 3]>::try_from(small.kinds).expect("three kinds");
    (waiver.rate, waiver.worth, waiver.aim) = (45.7, (3.1, 0.46), Duration::from_millis(1_400));
    (history.rate, history.worth) = (50.3, (1.9, 0.28));
    (payer.rate, payer.worth) = (12.3, (1.4, 0.21));
    let zone = ["yakima"; 5];
    Site {
        services: vec![
            service("docket", 18, 9.5, 40.0, &zone),
            service("notices", 60, 2.9, 8.0, &zone[..4]),
            service("warrants", 84, 2.0, 1.1, &zone),
        ],
        kinds: vec![waiver, history, payer],
        tail: small.tail,
    }
}

fn kind(
    name: &'static str,
    rate: f64,
    priority: u8,
    (aim, deadline): (u64, u64),
    worth: (f64, f64),
    steps: Vec<KindStep>,
) -> Kind {
    Kind {
        name,
        rate,
        priority,
        aim: Duration::from_millis(aim),
        deadline: Duration::from_millis(deadline),
        worth,
        steps,
    }
}
