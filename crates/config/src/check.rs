//! Fault reports and the reader that collects every fault of a text in one pass.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_saphyr::Spanned;

use crate::tree::Position;
use crate::tree::YamlNode;

/// What is wrong at one place of a text.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum DiagnosticKind {
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
    TypeMismatch {
        /// What the field takes.
        expected: &'static str,
        /// What the text holds.
        found: String,
    },
    /// A scalar that does not parse.
    #[strum(to_string = "expected {expected}, found '{found}'")]
    InvalidValue {
        /// What the field takes.
        expected: &'static str,
        /// What the text holds.
        found: String,
    },
    /// A name that stands twice.
    #[strum(to_string = "'{0}' is defined twice")]
    DuplicateName(String),
    /// A reference to a name that is not defined.
    #[strum(to_string = "{what} '{name}' is not defined")]
    UndefinedName {
        /// Kind of the missing thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// Stages that need each other.
    #[strum(to_string = "stages need each other in a cycle through '{0}'")]
    DependencyCycle(String),
    /// A ceiling below the cold limit.
    #[strum(to_string = "ceiling {ceiling} is below the cold limit {cold_limit}")]
    CeilingBelowColdLimit {
        /// The ceiling.
        ceiling: u32,
        /// The cold limit.
        cold_limit: u32,
    },
    /// A deadline shorter than the typical times of the stages on its longest path.
    #[strum(
        to_string = "deadline {deadline_ms} ms is shorter than the stages' typical {typical_ms} ms"
    )]
    DeadlineBelowTypical {
        /// Deadline in milliseconds.
        deadline_ms: u64,
        /// Sum of typical times on the longest path in milliseconds.
        typical_ms: u64,
    },
    /// A stage whose result nothing uses.
    #[strum(to_string = "result of stage '{0}' is used by no other stage and it is not the last")]
    UnusedStageResult(String),
}

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line, from one; zero when the text has no such place.
    pub line: u64,
    /// Column, from one.
    pub column: u64,
    /// The fault.
    pub kind: DiagnosticKind,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)
    }
}

impl std::error::Error for Diagnostic {}

/// Parses `text` into a tree.
///
/// # Errors
///
/// Returns the syntax fault with its place.
pub(crate) fn parse(text: &str) -> Result<Spanned<YamlNode>, Diagnostic> {
    serde_saphyr::from_str(text).map_err(|err| {
        let location = err.location();
        let message = err.to_string();
        Diagnostic {
            line: location.map_or(0, |it| it.line()),
            column: location.map_or(0, |it| it.column()),
            kind: DiagnosticKind::Syntax(message.lines().next().unwrap_or_default().to_owned()),
        }
    })
}

/// Collects faults while a tree is read.
#[derive(Debug, Default)]
pub(crate) struct Diagnostics(Vec<Diagnostic>);

impl Diagnostics {
    pub(crate) fn push(&mut self, position: Position, kind: DiagnosticKind) {
        self.0.push(Diagnostic {
            line: position.line,
            column: position.column,
            kind,
        });
    }

    /// Returns `value` when nothing was collected.
    pub(crate) fn into_result<T>(mut self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|it| (it.line, it.column));
        Err(self.0)
    }
}

/// The fields of one map; reports those that nobody asked for.
pub(crate) struct Fields<'a> {
    pub(crate) position: Position,
    entries: &'a [(Spanned<String>, Spanned<YamlNode>)],
    known: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Opens `node` as a map.
    pub(crate) fn from_node(
        node: &'a Spanned<YamlNode>,
        diagnostics: &mut Diagnostics,
    ) -> Option<Fields<'a>> {
        let YamlNode::Map(entries) = &node.value else {
            diagnostics.push(node.into(), type_mismatch("a map", &node.value));
            return None;
        };
        let mut seen = BTreeSet::new();
        for (key, _) in entries {
            if !seen.insert(key.value.as_str()) {
                diagnostics.push(key.into(), DiagnosticKind::DuplicateName(key.value.clone()));
            }
        }
        Some(Fields {
            position: node.into(),
            entries,
            known: BTreeSet::new(),
        })
    }

    /// The node of field `name`, if the map has it.
    pub(crate) fn get(&mut self, name: &'static str) -> Option<&'a Spanned<YamlNode>> {
        self.known.insert(name);
        let entry = self.entries.iter().find(|(key, _)| key.value == name);
        entry.map(|(_, node)| node)
    }

    /// A required scalar.
    pub(crate) fn required<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        diagnostics: &mut Diagnostics,
    ) -> Option<T> {
        let Some(node) = self.get(name) else {
            diagnostics.push(self.position, DiagnosticKind::MissingField(name));
            return None;
        };
        scalar(node, expected, diagnostics)
    }

    /// An optional scalar with a default.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        default: T,
        diagnostics: &mut Diagnostics,
    ) -> T {
        match self.get(name) {
            Some(node) => scalar(node, expected, diagnostics).unwrap_or(default),
            None => default,
        }
    }

    /// An optional duration with a default.
    pub(crate) fn optional_duration(
        &mut self,
        name: &'static str,
        default: Duration,
        diagnostics: &mut Diagnostics,
    ) -> Duration {
        self.optional(
            name,
            HumanDuration::EXPECTED,
            HumanDuration(default),
            diagnostics,
        )
        .0
    }

    /// The items of an optional list.
    pub(crate) fn list(
        &mut self,
        name: &'static str,
        diagnostics: &mut Diagnostics,
    ) -> &'a [Spanned<YamlNode>] {
        match self.get(name) {
            Some(node) => items(node, diagnostics),
            None => &[],
        }
    }

    /// Reports every field that was never asked for.
    pub(crate) fn reject_unknown(self, diagnostics: &mut Diagnostics) {
        for (key, _) in self.entries {
            if !self.known.contains(key.value.as_str()) {
                diagnostics.push(key.into(), DiagnosticKind::UnknownField(key.value.clone()));
            }
        }
    }
}

/// The items of a list node.
pub(crate) fn items<'a>(
    node: &'a Spanned<YamlNode>,
    diagnostics: &mut Diagnostics,
) -> &'a [Spanned<YamlNode>] {
    match &node.value {
        YamlNode::Seq(items) => items,
        other => {
            diagnostics.push(node.into(), type_mismatch("a list", other));
            &[]
        }
    }
}

/// Parses a scalar node.
pub(crate) fn scalar<T: FromStr>(
    node: &Spanned<YamlNode>,
    expected: &'static str,
    diagnostics: &mut Diagnostics,
) -> Option<T> {
    let YamlNode::Scalar(text) = &node.value else {
        diagnostics.push(node.into(), type_mismatch(expected, &node.value));
        return None;
    };
    let parsed = text.parse().ok();
    if parsed.is_none() {
        let found = text.clone();
        diagnostics.push(
            node.into(),
            DiagnosticKind::InvalidValue { expected, found },
        );
    }
    parsed
}

fn type_mismatch(expected: &'static str, found: &YamlNode) -> DiagnosticKind {
    DiagnosticKind::TypeMismatch {
        expected,
        found: found.kind_name().to_owned(),
    }
}

/// A duration written as `250ms`, `7s` or `2m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HumanDuration(pub Duration);

impl HumanDuration {
    /// What a reader expects of the text.
    pub const EXPECTED: &'static str = "a duration such as 250ms, 7s or 2m";
}

/// The text is not a duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidDuration;

impl fmt::Display for InvalidDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {}", HumanDuration::EXPECTED)
    }
}

impl std::error::Error for InvalidDuration {}

impl FromStr for HumanDuration {
    type Err = InvalidDuration;

    fn from_str(text: &str) -> Result<HumanDuration, InvalidDuration> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let count: u64 = digits.parse().map_err(|_| InvalidDuration)?;
        match &text[digits.len()..] {
            "ms" => Ok(HumanDuration(Duration::from_millis(count))),
            "s" => Ok(HumanDuration(Duration::from_secs(count))),
            "m" => Ok(HumanDuration(Duration::from_secs(count.saturating_mul(60)))),
            _ => Err(InvalidDuration),
        }
    }
}

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis();
        if millis.is_multiple_of(1000) {
            return write!(f, "{}s", millis / 1000);
        }
        write!(f, "{millis}ms")
    }
}
