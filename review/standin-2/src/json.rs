//! A small JSON reader and writer.

use std::fmt;

/// A JSON value. Objects keep their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Reads a value; `None` if the text is not JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    /// Text of a field; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    /// Number of a field.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Elements of an array in a field; none if there is no such array.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::Array(items)) => items,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(text) => f.write_str(&quote(text)),
            Json::Array(items) => {
                f.write_str("[")?;
                for (idx, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if idx == 0 { "" } else { "," })?;
                }
                f.write_str("]")
            }
            Json::Object(fields) => {
                f.write_str("{")?;
                for (idx, (name, value)) in fields.iter().enumerate() {
                    let comma = if idx == 0 { "" } else { "," };
                    write!(f, "{comma}{}:{value}", quote(name))?;
                }
                f.write_str("}")
            }
        }
    }
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self
            .bytes
            .get(self.at)
            .is_some_and(|it| it.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..]
            .starts_with(text.as_bytes())
            .then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.array(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
        let length = self.bytes[self.at..]
            .iter()
            .take_while(|it| is_part(it))
            .count();
        let text = std::str::from_utf8(&self.bytes[self.at..self.at + length]).ok()?;
        self.at += length;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let c = self.escape()?;
                    bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                _ => bytes.push(byte),
            }
        }
    }

    fn escape(&mut self) -> Option<char> {
        let byte = *self.bytes.get(self.at)?;
        self.at += 1;
        Some(match byte {
            b'n' => '\n',
            b't' => '\t',
            b'r' => '\r',
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'u' => {
                let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                self.at += 4;
                char::from_u32(u32::from_str_radix(digits, 16).ok()?).unwrap_or('\u{fffd}')
            }
            other => other as char,
        })
    }

    fn array(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut items = Vec::new();
        self.skip_space();
        if self.take("]").is_some() {
            return Some(Json::Array(items));
        }
        loop {
            items.push(self.value()?);
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Json::Array(items));
            }
            self.take(",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        self.skip_space();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.skip_space();
            self.take(":")?;
            fields.push((name, self.value()?));
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(",")?;
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |idx: usize| u32::from(chunk.get(idx).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for idx in 0..4 {
            match idx <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * idx) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
