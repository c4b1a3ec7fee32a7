//! Declaration of template parameters and validation of their values.

use std::collections::BTreeMap;

use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::Problem;
use crate::weight::Digest;

/// The type of a parameter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Type {
    /// Any text.
    String,
    /// Any integer.
    Integer,
    /// `true` or `false`.
    Boolean,
    /// Digest of a manifest.
    Digest,
    /// A list of strings.
    List,
}

impl Type {
    fn describe(self) -> &'static str {
        match self {
            Self::String => "a string",
            Self::Integer => "an integer",
            Self::Boolean => "true or false",
            Self::Digest => "a digest (64 hexadecimal digits)",
            Self::List => "a list of strings",
        }
    }

    fn accepts(self, value: &DeValue<'_>) -> bool {
        match self {
            Self::String => value.is_str(),
            Self::Integer => value.is_integer(),
            Self::Boolean => value.is_bool(),
            Self::Digest => value
                .as_str()
                .is_some_and(|text| text.parse::<Digest>().is_ok()),
            Self::List => value
                .as_array()
                .is_some_and(|items| items.iter().all(|item| item.get_ref().is_str())),
        }
    }
}

/// Declaration of a parameter.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    /// Type of its values.
    #[serde(rename = "type")]
    pub kind: Type,
    /// Purpose, for readers of the template.
    #[serde(default)]
    pub description: String,
    /// Allowed strings, or allowed items of a list; any if empty.
    #[serde(default)]
    pub choices: Vec<String>,
    /// Smallest allowed integer.
    pub minimum: Option<i64>,
    /// Largest allowed integer.
    pub maximum: Option<i64>,
    /// Accepts the `default` key; [`default_value`] reads its value from the parsed tree.
    #[serde(default, rename = "default")]
    _default: Option<toml::Value>,
}

/// Parameter declarations by name.
pub type Parameters = BTreeMap<String, Parameter>;

impl Parameter {
    /// Checks the type of `value`, and its range or choices.
    pub fn check(&self, name: &str, value: &DeValue<'_>) -> Result<(), Problem> {
        if !self.kind.accepts(value) {
            return Err(Problem::Type {
                name: name.to_owned(),
                expected: self.kind.describe().to_owned(),
                found: describe(value),
            });
        }
        if let Some(number) = integer(value) {
            self.check_range(name, number)?;
        }
        for text in strings(value) {
            self.check_choice(name, text)?;
        }
        Ok(())
    }

    fn check_range(&self, name: &str, number: i64) -> Result<(), Problem> {
        let minimum = self.minimum.unwrap_or(i64::MIN);
        let maximum = self.maximum.unwrap_or(i64::MAX);
        if (minimum..=maximum).contains(&number) {
            return Ok(());
        }
        let allowed = match (self.minimum, self.maximum) {
            (Some(low), Some(high)) => format!("{low} to {high}"),
            (Some(low), None) => format!("{low} or more"),
            (None, Some(high)) => format!("{high} or less"),
            (None, None) => "any integer".to_owned(),
        };
        Err(Problem::Range {
            name: name.to_owned(),
            found: number.to_string(),
            allowed,
        })
    }

    fn check_choice(&self, name: &str, text: &str) -> Result<(), Problem> {
        if self.choices.is_empty() || self.choices.iter().any(|choice| choice == text) {
            return Ok(());
        }
        Err(Problem::Range {
            name: name.to_owned(),
            found: format!("\"{text}\""),
            allowed: self.choices.join(", "),
        })
    }
}

/// The value of an integer; `None` for other types and for integers outside the range of `i64`.
pub fn integer(value: &DeValue<'_>) -> Option<i64> {
    let number = value.as_integer()?;
    i64::from_str_radix(number.as_str(), number.radix()).ok()
}

/// A string value itself, or the string items of a list.
fn strings<'a>(value: &'a DeValue<'_>) -> Vec<&'a str> {
    if let Some(text) = value.as_str() {
        return vec![text];
    }
    value
        .as_array()
        .map(|items| {
            items
                .iter()
                .filter_map(|item| item.get_ref().as_str())
                .collect()
        })
        .unwrap_or_default()
}

fn describe(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("\"{text}\""),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Boolean(flag) => flag.to_string(),
        other => format!("a {}", other.type_str()),
    }
}

/// Default value of parameter `name` in the parsed template.
pub fn default_value<'a, 'i>(
    template: &'a DeTable<'i>,
    name: &str,
) -> Option<&'a Spanned<DeValue<'i>>> {
    template
        .get("parameters")?
        .get_ref()
        .as_table()?
        .get(name)?
        .get_ref()
        .as_table()?
        .get("default")
}
