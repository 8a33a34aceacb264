//! Fault reports and the reader that collects every fault of a text in one pass.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_saphyr::Spanned;

use crate::tree::Node;
use crate::tree::Place;

/// What is wrong at one place of a text.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum Problem {
    /// The text is not YAML.
    #[strum(to_string = "not valid YAML: {0}")]
    Syntax(String),
    /// A field that this place does not know.
    #[strum(to_string = "unknown field '{0}'")]
    UnknownField(String),
    /// A required field is missing.
    #[strum(to_string = "missing field '{0}'")]
    MissingField(&'static str),
    /// A value of the wrong kind.
    #[strum(to_string = "expected {expected}, found {found}")]
    Kind {
        /// What the field takes.
        expected: &'static str,
        /// What the text holds.
        found: String,
    },
    /// A scalar that does not parse.
    #[strum(to_string = "expected {expected}, found '{found}'")]
    Value {
        /// What the field takes.
        expected: &'static str,
        /// What the text holds.
        found: String,
    },
    /// A name that stands twice.
    #[strum(to_string = "'{0}' is defined twice")]
    Doubled(String),
    /// A reference to a name that is not defined.
    #[strum(to_string = "{what} '{name}' is not defined")]
    Dangling {
        /// Kind of the missing thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// Stages that need each other.
    #[strum(to_string = "stages need each other in a cycle through '{0}'")]
    Cycle(String),
    /// A ceiling below the cold limit.
    #[strum(to_string = "ceiling {ceiling} is below the cold limit {cold_limit}")]
    CeilingBelowCold {
        /// The ceiling.
        ceiling: u32,
        /// The cold limit.
        cold_limit: u32,
    },
    /// A deadline shorter than the typical times of the stages on its longest path.
    #[strum(
        to_string = "deadline {deadline_ms} ms is shorter than the stages' typical {typical_ms} ms"
    )]
    ImpossibleDeadline {
        /// Deadline in milliseconds.
        deadline_ms: u64,
        /// Sum of typical times on the longest path in milliseconds.
        typical_ms: u64,
    },
    /// A stage whose result nothing uses.
    #[strum(to_string = "result of stage '{0}' is used by no other stage and it is not the last")]
    UnusedStage(String),
}

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line, from one; zero when the text has no such place.
    pub line: u64,
    /// Column, from one.
    pub column: u64,
    /// The fault.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.problem)
    }
}

impl std::error::Error for Fault {}

/// Parses `text` into a tree.
///
/// # Errors
///
/// Returns the syntax fault with its place.
pub(crate) fn parse(text: &str) -> Result<Spanned<Node>, Fault> {
    serde_saphyr::from_str(text).map_err(|err| {
        let location = err.location();
        let message = err.to_string();
        Fault {
            line: location.map_or(0, |it| it.line()),
            column: location.map_or(0, |it| it.column()),
            problem: Problem::Syntax(message.lines().next().unwrap_or_default().to_owned()),
        }
    })
}

/// Collects faults while a tree is read.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn push(&mut self, place: Place, problem: Problem) {
        self.0.push(Fault {
            line: place.line,
            column: place.column,
            problem,
        });
    }

    /// Returns `value` when nothing was collected.
    pub(crate) fn into_result<T>(mut self, value: T) -> Result<T, Vec<Fault>> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|it| (it.line, it.column));
        Err(self.0)
    }
}

/// The fields of one map; reports those that nobody asked for.
pub(crate) struct Fields<'a> {
    pub(crate) place: Place,
    entries: &'a [(Spanned<String>, Spanned<Node>)],
    known: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Opens `node` as a map.
    pub(crate) fn open(node: &'a Spanned<Node>, faults: &mut Faults) -> Option<Fields<'a>> {
        let Node::Map(entries) = &node.value else {
            faults.push(node.into(), wrong_kind("a map", &node.value));
            return None;
        };
        let mut seen = BTreeSet::new();
        for (key, _) in entries {
            if !seen.insert(key.value.as_str()) {
                faults.push(key.into(), Problem::Doubled(key.value.clone()));
            }
        }
        Some(Fields {
            place: node.into(),
            entries,
            known: BTreeSet::new(),
        })
    }

    /// The node of field `name`, if the map has it.
    pub(crate) fn get(&mut self, name: &'static str) -> Option<&'a Spanned<Node>> {
        self.known.insert(name);
        let entry = self.entries.iter().find(|(key, _)| key.value == name);
        entry.map(|(_, node)| node)
    }

    /// A required scalar.
    pub(crate) fn need<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        faults: &mut Faults,
    ) -> Option<T> {
        let Some(node) = self.get(name) else {
            faults.push(self.place, Problem::MissingField(name));
            return None;
        };
        scalar(node, expected, faults)
    }

    /// An optional scalar with a default.
    pub(crate) fn or<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        default: T,
        faults: &mut Faults,
    ) -> T {
        match self.get(name) {
            Some(node) => scalar(node, expected, faults).unwrap_or(default),
            None => default,
        }
    }

    /// An optional duration with a default.
    pub(crate) fn duration_or(
        &mut self,
        name: &'static str,
        default: Duration,
        faults: &mut Faults,
    ) -> Duration {
        self.or(name, Span::EXPECTED, Span(default), faults).0
    }

    /// The items of an optional list.
    pub(crate) fn list(&mut self, name: &'static str, faults: &mut Faults) -> &'a [Spanned<Node>] {
        match self.get(name) {
            Some(node) => items(node, faults),
            None => &[],
        }
    }

    /// Reports every field that was never asked for.
    pub(crate) fn close(self, faults: &mut Faults) {
        for (key, _) in self.entries {
            if !self.known.contains(key.value.as_str()) {
                faults.push(key.into(), Problem::UnknownField(key.value.clone()));
            }
        }
    }
}

/// The items of a list node.
pub(crate) fn items<'a>(node: &'a Spanned<Node>, faults: &mut Faults) -> &'a [Spanned<Node>] {
    match &node.value {
        Node::Seq(items) => items,
        other => {
            faults.push(node.into(), wrong_kind("a list", other));
            &[]
        }
    }
}

/// Parses a scalar node.
pub(crate) fn scalar<T: FromStr>(
    node: &Spanned<Node>,
    expected: &'static str,
    faults: &mut Faults,
) -> Option<T> {
    let Node::Scalar(text) = &node.value else {
        faults.push(node.into(), wrong_kind(expected, &node.value));
        return None;
    };
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let found = text.clone();
        faults.push(node.into(), Problem::Value { expected, found });
    }
    parsed
}

fn wrong_kind(expected: &'static str, found: &Node) -> Problem {
    Problem::Kind {
        expected,
        found: found.kind().to_owned(),
    }
}

/// A duration written as `250ms`, `7s` or `2m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span(pub Duration);

impl Span {
    /// What a reader expects of the text.
    pub const EXPECTED: &'static str = "a duration such as 250ms, 7s or 2m";
}

/// The text is not a duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadSpan;

impl fmt::Display for BadSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", Span::EXPECTED)
    }
}

impl std::error::Error for BadSpan {}

impl FromStr for Span {
    type Err = BadSpan;

    fn from_str(text: &str) -> Result<Span, BadSpan> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let count: u64 = digits.parse().map_err(|_| BadSpan)?;
        match &text[digits.len()..] {
            "ms" => Ok(Span(Duration::from_millis(count))),
            "s" => Ok(Span(Duration::from_secs(count))),
            "m" => Ok(Span(Duration::from_secs(count.saturating_mul(60)))),
            _ => Err(BadSpan),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        if millis.is_multiple_of(1000) {
            return write!(f, "{}s", millis / 1000);
        }
        write!(f, "{millis}ms")
    }
}
