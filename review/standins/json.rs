//! Reader and writer of JSON values, as far as the platform's messages need them.

use std::fmt::Write;

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    /// Returns a text field; empty if it is missing.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Json::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a number field.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns a list field; empty if it is missing.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    /// Parses a value; `None` if the text is not valid.
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut parser = Parser { text, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == text.len()).then_some(value)
    }

    /// Writes the value.
    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) => {
                let _ = write!(out, "{number}");
            }
            Json::Text(text) => write_text(text, out),
            Json::List(list) => {
                out.push('[');
                for (ix, value) in list.iter().enumerate() {
                    if ix > 0 {
                        out.push(',');
                    }
                    value.write(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (ix, (key, value)) in fields.iter().enumerate() {
                    if ix > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let mut out = String::new();
        self.write(&mut out);
        f.write_str(&out)
    }
}

/// Returns a number.
pub fn num(number: u64) -> Json {
    Json::Number(number as f64)
}

/// Returns a text.
pub fn text(text: &str) -> Json {
    Json::Text(text.to_string())
}

/// Returns an object.
pub fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(fields.into_iter().map(|(key, value)| (key.to_string(), value)).collect())
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.at < self.text.len() && self.text[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let byte = *self.text.get(self.at)?;
        self.at += 1;
        Some(byte)
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip_space();
        self.text.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.at + word.len();
        (self.text.get(self.at..end)? == word.as_bytes()).then(|| self.at = end)?;
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.peek()? == b']' {
                    self.at += 1;
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    self.skip_space();
                    match self.next()? {
                        b',' => {}
                        b']' => return Some(Json::List(list)),
                        _ => return None,
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.peek()? == b'}' {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                loop {
                    if self.peek()? != b'"' {
                        return None;
                    }
                    let key = self.string()?;
                    if self.peek()? != b':' {
                        return None;
                    }
                    self.at += 1;
                    fields.push((key, self.value()?));
                    self.skip_space();
                    match self.next()? {
                        b',' => {}
                        b'}' => return Some(Json::Object(fields)),
                        _ => return None,
                    }
                }
            }
            _ => {
                let start = self.at;
                while self.at < self.text.len() && b"+-.eE0123456789".contains(&self.text[self.at]) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let c = match self.next()? {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code).unwrap_or('?')
                        }
                        c => c as char,
                    };
                    let mut buf = [0; 4];
                    bytes.extend_from_slice(c.encode_utf8(&mut buf).as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0_u32, |group, ix| group << 8 | u32::from(*chunk.get(ix).unwrap_or(&0)));
        for ix in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * ix) & 63) as usize] as char;
            out.push(if ix <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

/// Decodes base64; `None` if the text is not valid.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let digits: Vec<u8> = text.bytes().filter(|byte| *byte != b'=').collect();
    for chunk in digits.chunks(4) {
        let mut group = 0_u32;
        for ix in 0..4 {
            let digit = match chunk.get(ix) {
                Some(byte) => DIGITS.iter().position(|digit| digit == byte)?,
                None => 0,
            };
            group = group << 6 | digit as u32;
        }
        out.extend_from_slice(&group.to_be_bytes()[1..chunk.len()]);
    }
    Some(out)
}
