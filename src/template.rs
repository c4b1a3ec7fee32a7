//! Customer templates: parsing, validation and rendering.
//!
//! A template is a TOML file with typed parameters; a customer's file names a template and gives
//! values. [`render::render`] combines the two into a [`fleet::Fleet`], the only form that the
//! rest of the system uses. Every error names the file, the line, the key and the fix.

use std::fmt;
use std::ops::Range;

pub mod fleet;
pub mod parameter;
pub mod render;

/// Maximum size of a value of the configuration service.
pub const VALUE_BYTES_MAX: usize = 1 << 20;

/// A line of a file or of a value of the configuration service.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Location {
    /// Name of the file or value.
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
}

impl Location {
    /// The line on which the byte range `span` of `text` begins; line 1 without a span.
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

/// A fault in a template or a customer's file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
pub enum Problem {
    /// The file is not TOML, or does not have the expected structure.
    #[error("{message}")]
    Shape {
        /// The parser's message.
        message: String,
    },
    /// The value is too long for the configuration service.
    #[error(
        "{bytes} bytes is over the limit of {VALUE_BYTES_MAX} bytes; split the fleet over several customers"
    )]
    TooLong {
        /// Size of the value.
        bytes: usize,
    },
    /// The customer names a template that does not exist.
    #[error("no template `{name}`; add it or name one of: {known}")]
    NoTemplate {
        /// The unknown name.
        name: String,
        /// Names of the existing templates.
        known: String,
    },
    /// A value for a parameter that the template does not declare.
    #[error("the template has no parameter `{name}`; remove it or name one of: {known}")]
    NoParameter {
        /// The unknown name.
        name: String,
        /// Names of the declared parameters.
        known: String,
    },
    /// A parameter without a default has no value.
    #[error("parameter `{name}` has no default; give it a value under [values]")]
    NoValue {
        /// Name of the parameter.
        name: String,
    },
    /// A value does not have its parameter's type.
    #[error("parameter `{name}` takes {expected}, got {found}")]
    Type {
        /// Name of the parameter.
        name: String,
        /// The expected type.
        expected: String,
        /// The given value.
        found: String,
    },
    /// A value is outside its parameter's range or choices.
    #[error("parameter `{name}` is {found}; allowed: {allowed}")]
    Range {
        /// Name of the parameter.
        name: String,
        /// The given value.
        found: String,
        /// The allowed range or choices.
        allowed: String,
    },
    /// A placeholder for a list is part of a longer string.
    #[error("`${{{name}}}` is a list and must be the whole string")]
    ListInText {
        /// Name of the parameter.
        name: String,
    },
    /// A `${` has no closing `}`.
    #[error("`${{` without `}}`; close it, or write `$${{` for the text itself")]
    OpenPlaceholder,
    /// The rendered fleet is inconsistent.
    #[error("{0}")]
    Fleet(#[from] fleet::Problem),
}

/// A problem and its location.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{location}: {key}: {problem}")]
pub struct Error {
    /// File and line.
    #[serde(rename = "place")]
    pub location: Location,
    /// The key as a dotted path, or `(file)` for the whole file.
    pub key: String,
    /// The fault and how to fix it.
    pub problem: Box<Problem>,
}

/// Rejects text that is too long for the configuration service.
pub fn check_length(file: &str, text: &str) -> Result<(), Error> {
    if text.len() <= VALUE_BYTES_MAX {
        return Ok(());
    }
    Err(Error {
        location: Location::new(file, text, None),
        key: "(file)".to_owned(),
        problem: Box::new(Problem::TooLong { bytes: text.len() }),
    })
}
