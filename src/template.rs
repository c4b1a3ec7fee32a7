//! Customer templates: what operators write, and what it comes to.
//!
//! A template is a TOML file with typed parameters; a customer's file names a template and gives
//! values. [`render::render`] joins the two into a [`fleet::Fleet`], the only form that the rest
//! of the system sees. Every error names the file, the line, the key and the fix.

use std::fmt;
use std::ops::Range;

pub mod fleet;
pub mod parameter;
pub mod render;

/// Bytes that one value on the configuration service may have.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Where in which file something stands.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Location {
    /// The file's or value's name.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
}

impl Location {
    /// The place of byte range `span` in `text`.
    pub fn new(file: &str, text: &str, span: Option<Range<usize>>) -> Self {
        let start = span.map_or(0, |span| span.start).min(text.len());
        let line = text.as_bytes()[..start]
            .iter()
            .filter(|&&byte| byte == b'\n')
            .count()
            + 1;
        Self {
            file: file.to_owned(),
            line,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.file, self.line)
    }
}

/// What is wrong with a template or a customer's file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
pub enum Problem {
    /// The file is not TOML, or not of the expected shape.
    #[error("{message}")]
    Shape {
        /// What the parser reported.
        message: String,
    },
    /// The value is too long for the configuration service.
    #[error(
        "{bytes} bytes is over the limit of {MAX_VALUE_BYTES} bytes; split the fleet over several customers"
    )]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The customer names a template that does not exist.
    #[error("no template `{name}`; add it or name one of: {known}")]
    NoTemplate {
        /// The name that was given.
        name: String,
        /// The templates that exist.
        known: String,
    },
    /// A value for a parameter that the template does not declare.
    #[error("the template has no parameter `{name}`; remove it or name one of: {known}")]
    NoParameter {
        /// The name that was given.
        name: String,
        /// The parameters that exist.
        known: String,
    },
    /// A parameter without a default got no value.
    #[error("parameter `{name}` has no default; give it a value under [values]")]
    NoValue {
        /// The parameter.
        name: String,
    },
    /// A value is not of its parameter's type.
    #[error("parameter `{name}` takes {expected}, got {found}")]
    Type {
        /// The parameter.
        name: String,
        /// What it takes.
        expected: String,
        /// What was given.
        found: String,
    },
    /// A value lies outside what its parameter allows.
    #[error("parameter `{name}` is {found}; allowed: {allowed}")]
    Range {
        /// The parameter.
        name: String,
        /// What was given.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// A `${...}` that cannot stand within a longer string.
    #[error("`${{{name}}}` is a list and must be the whole string")]
    ListInText {
        /// The parameter.
        name: String,
    },
    /// A `${` without an end.
    #[error("`${{` without `}}`; close it, or write `$${{` for the text itself")]
    OpenPlaceholder,
    /// The rendered fleet contradicts itself.
    #[error("{0}")]
    Fleet(#[from] fleet::Problem),
}

/// A problem and where it is.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{location}: {key}: {problem}")]
pub struct Error {
    /// File and line.
    #[serde(rename = "place")]
    pub location: Location,
    /// The key, as a dotted path, or `(file)` for the whole.
    pub key: String,
    /// What is wrong, and what would do.
    pub problem: Box<Problem>,
}

/// Refuses text that the configuration service would not hold.
pub fn check_length(file: &str, text: &str) -> Result<(), Error> {
    if text.len() <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(Error {
        location: Location::new(file, text, None),
        key: "(file)".to_owned(),
        problem: Box::new(Problem::TooLong { bytes: text.len() }),
    })
}
