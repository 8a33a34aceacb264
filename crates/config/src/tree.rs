//! A YAML tree in which every key and value knows its line and column.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;

/// Position in the text, both counted from one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) line: u64,
    pub(crate) column: u64,
}

impl<T> From<&Spanned<T>> for Place {
    fn from(spanned: &Spanned<T>) -> Place {
        Place {
            line: spanned.referenced.line(),
            column: spanned.referenced.column(),
        }
    }
}

/// A value of the tree. Scalars keep their text; the reader decides what they mean.
#[derive(Debug)]
pub(crate) enum Node {
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
    Seq(Vec<Spanned<Node>>),
    Scalar(String),
    Null,
}

impl Node {
    /// Name of the node's kind in a fault report.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Node::Map(_) => "a map",
            Node::Seq(_) => "a list",
            Node::Scalar(_) => "a scalar",
            Node::Null => "nothing",
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a map, list or scalar")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::Seq(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Map(entries))
    }
}
