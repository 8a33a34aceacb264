//! YAML tree that keeps the line and column of every key and value.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// Position in a text; line and column start at one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

impl<T> From<&Spanned<T>> for Position {
    fn from(spanned: &Spanned<T>) -> Position {
        Position {
            line: spanned.referenced.line(),
            column: spanned.referenced.column(),
        }
    }
}

/// A node of the tree. Scalars are kept as text, numbers and booleans as Rust prints them; the
/// reader of the field parses them.
#[derive(Debug)]
pub(crate) enum YamlNode {
    Map(Vec<(Spanned<String>, Spanned<YamlNode>)>),
    Seq(Vec<Spanned<YamlNode>>),
    Scalar(String),
    Null,
}

impl YamlNode {
    /// Name of the node's YAML type in a diagnostic.
    pub(crate) fn kind_name(&self) -> &'static str {
        match self {
            YamlNode::Map(_) => "a map",
            YamlNode::Seq(_) => "a list",
            YamlNode::Scalar(_) => "a scalar",
            YamlNode::Null => "nothing",
        }
    }
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<YamlNode, D::Error> {
        deserializer.deserialize_any(YamlNodeVisitor)
    }
}

struct YamlNodeVisitor;

impl<'de> Visitor<'de> for YamlNodeVisitor {
    type Value = YamlNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map, list or scalar")
    }

    fn visit_bool<E>(self, value: bool) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Null)
    }

    fn visit_none<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlNode, D::Error> {
        YamlNode::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<YamlNode, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(YamlNode::Seq(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<YamlNode, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(YamlNode::Map(entries))
    }
}
