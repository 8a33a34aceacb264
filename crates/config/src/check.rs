//! Diagnostics of YAML texts, and the field reader that reports every error of a text in one pass.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_saphyr::Spanned;

use crate::tree::Position;
use crate::tree::YamlNode;

/// What is wrong at one position of a text.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
pub enum DiagnosticKind {
    /// The text is not YAML.
    #[strum(to_string = "not valid YAML: {0}")]
    Syntax(String),
    /// A map has a field that its schema does not define.
    #[strum(to_string = "unknown field '{0}'")]
    UnknownField(String),
    /// A required field is missing.
    #[strum(to_string = "missing field '{0}'")]
    MissingField(&'static str),
    /// A node is not of the expected YAML type, such as a list in place of a scalar.
    #[strum(to_string = "expected {expected}, found {found}")]
    TypeMismatch {
        /// Description of a valid value.
        expected: &'static str,
        /// YAML type of the node found.
        found: String,
    },
    /// A scalar does not parse as the type of its field.
    #[strum(to_string = "expected {expected}, found '{found}'")]
    InvalidValue {
        /// Description of a valid value.
        expected: &'static str,
        /// Text of the scalar.
        found: String,
    },
    /// A name is defined twice, or a map repeats a key.
    #[strum(to_string = "'{0}' is defined twice")]
    DuplicateName(String),
    /// A reference to a name that is not defined.
    #[strum(to_string = "{entity} '{name}' is not defined")]
    UndefinedName {
        /// Type of the referenced entity, such as `zone` or `service`.
        entity: &'static str,
        /// Name in the reference.
        name: String,
    },
    /// Stages depend on each other in a cycle; names one stage of the cycle or behind it.
    #[strum(to_string = "stages depend on each other in a cycle through '{0}'")]
    DependencyCycle(String),
    /// The in-flight ceiling of a service is below its cold limit.
    #[strum(to_string = "ceiling {ceiling} is below the cold limit {cold_limit}")]
    CeilingBelowColdLimit {
        /// In-flight limit of a fully warm upstream.
        ceiling: u32,
        /// In-flight limit of a cold upstream.
        cold_limit: u32,
    },
    /// A pipeline's deadline is shorter than the typical duration of its longest path of stages.
    #[strum(
        to_string = "deadline {deadline_ms} ms is shorter than the stages' typical {typical_ms} ms"
    )]
    DeadlineBelowTypical {
        /// Deadline in milliseconds.
        deadline_ms: u64,
        /// Sum of the typical durations on the longest path in milliseconds.
        typical_ms: u64,
    },
    /// No other stage uses the result of a stage that is not the last.
    #[strum(to_string = "result of stage '{0}' is used by no other stage and it is not the last")]
    UnusedStageResult(String),
}

/// One error of a text, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Line, starting at one; zero if the error has no position.
    pub line: u64,
    /// Column, starting at one; zero if the error has no position.
    pub column: u64,
    /// What is wrong.
    pub kind: DiagnosticKind,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.kind)
    }
}

impl std::error::Error for Diagnostic {}

/// Parses YAML into a tree of nodes with positions.
///
/// # Errors
///
/// Returns the first syntax error.
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

/// Errors collected while a tree is read.
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

    /// Returns `value` if there are no errors, else the errors in the order of their positions.
    pub(crate) fn into_result<T>(mut self, value: T) -> Result<T, Vec<Diagnostic>> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by_key(|it| (it.line, it.column));
        Err(self.0)
    }
}

/// Reads the fields of one map and tracks which were requested, to report the unknown ones.
pub(crate) struct Fields<'a> {
    pub(crate) position: Position,
    entries: &'a [(Spanned<String>, Spanned<YamlNode>)],
    requested: BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Returns the fields of `node`; reports a node that is not a map, and repeated keys.
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
            requested: BTreeSet::new(),
        })
    }

    /// Returns the value of field `name`, if the map has it, and marks the field as known.
    pub(crate) fn get(&mut self, name: &'static str) -> Option<&'a Spanned<YamlNode>> {
        self.requested.insert(name);
        let entry = self.entries.iter().find(|(key, _)| key.value == name);
        entry.map(|(_, node)| node)
    }

    /// Parses a required scalar; reports a missing field and a value that does not parse.
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
        parse_scalar(node, expected, diagnostics)
    }

    /// Parses an optional scalar; returns `default` if the field is missing or does not parse.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        name: &'static str,
        expected: &'static str,
        default: T,
        diagnostics: &mut Diagnostics,
    ) -> T {
        match self.get(name) {
            Some(node) => parse_scalar(node, expected, diagnostics).unwrap_or(default),
            None => default,
        }
    }

    /// Parses an optional duration; returns `default` if the field is missing or does not parse.
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

    /// Returns the items of an optional list; empty if the field is missing.
    pub(crate) fn list(
        &mut self,
        name: &'static str,
        diagnostics: &mut Diagnostics,
    ) -> &'a [Spanned<YamlNode>] {
        match self.get(name) {
            Some(node) => list_items(node, diagnostics),
            None => &[],
        }
    }

    /// Reports every field that was not requested.
    pub(crate) fn reject_unknown(self, diagnostics: &mut Diagnostics) {
        for (key, _) in self.entries {
            if !self.requested.contains(key.value.as_str()) {
                diagnostics.push(key.into(), DiagnosticKind::UnknownField(key.value.clone()));
            }
        }
    }
}

/// Returns the items of a list; reports a node that is not a list.
pub(crate) fn list_items<'a>(
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

/// Parses a scalar; reports a node that is not a scalar or does not parse.
pub(crate) fn parse_scalar<T: FromStr>(
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
    /// Description of the format in error messages.
    pub const EXPECTED: &'static str = "a duration such as 250ms, 7s or 2m";
}

/// Error for a text that is not a [`HumanDuration`].
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
