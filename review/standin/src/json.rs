//! JSON values, as far as the platform's messages need them.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// The entry `name` of a table; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(entries) => entries.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Encodes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for char in text.chars() {
        match char {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            char if (char as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", char as u32)),
            char => quoted.push(char),
        }
    }
    quoted.push('"');
    quoted
}

impl fmt::Display for Json {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => formatter.write_str("null"),
            Json::Bool(value) => write!(formatter, "{value}"),
            Json::Number(value) => write!(formatter, "{value}"),
            Json::Text(text) => formatter.write_str(&quote(text)),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::to_string).collect();
                write!(formatter, "[{}]", items.join(","))
            }
            Json::Table(entries) => {
                let entries = entries.iter();
                let entries: Vec<String> = entries
                    .map(|(name, value)| format!("{}:{value}", quote(name)))
                    .collect();
                write!(formatter, "{{{}}}", entries.join(","))
            }
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(|it| it.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|it| b"+-.eE0123456789".contains(it))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let char = char::from_u32(code).unwrap_or('?');
                            bytes.extend_from_slice(char.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut entries = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(entries));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.take(b':')?;
            entries.insert(name, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Table(entries));
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group
            .iter()
            .fold(0_u32, |sum, it| sum << 8 | u32::from(*it));
        let value = value << (8 * (3 - group.len()));
        for idx in 0..4 {
            if idx <= group.len() {
                text.push(DIGITS[(value >> (18 - 6 * idx)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
