//! The path and query of a request, whose parts may be any text.

use std::fmt::{self, Display};

use percent_encoding::{AsciiSet, CONTROLS, NON_ALPHANUMERIC, utf8_percent_encode};

/// What is encoded in a segment of a path: all but the characters that no part of a URL reserves.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// What is encoded in a value of a query.
const VALUE: &AsciiSet = &SEGMENT.remove(b'/').remove(b':');

/// What cannot stand in a path. A percent sign may begin an escape.
const INVALID: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'\\')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// The path and query of a request. Any text that is added is encoded, so that a server decodes it to
/// the same text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    text: String,
    has_query: bool,
}

impl Target {
    /// Starts with `path`, which is encoded already, except for characters that cannot stand in a path.
    pub fn new(path: &str) -> Self {
        Self {
            text: utf8_percent_encode(path, INVALID).to_string(),
            has_query: path.contains('?'),
        }
    }

    /// Adds a segment to the path.
    pub fn segment(mut self, segment: &str) -> Self {
        self.text.push('/');
        self.text.extend(utf8_percent_encode(segment, SEGMENT));
        self
    }

    /// Adds a field to the query.
    pub fn query(mut self, name: &str, value: impl Display) -> Self {
        let separator = if self.has_query { '&' } else { '?' };
        self.has_query = true;
        self.text.push(separator);
        self.text.extend(utf8_percent_encode(name, VALUE));
        self.text.push('=');
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, VALUE));
        self
    }
}

impl Display for Target {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

impl From<Target> for String {
    fn from(target: Target) -> Self {
        target.text
    }
}
