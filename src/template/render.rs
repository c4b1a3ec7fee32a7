//! Joins a template and a customer's values into a fleet.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Range;

use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeArray, DeTable, DeValue};

use super::fleet::Fleet;
use super::parameter::{self, Parameter, Table};
use super::{Error, Location, Problem, check_length};

/// A named text: a file, or a value of the configuration service.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// Its name, shown in errors.
    pub name: &'a str,
    /// Its content.
    pub text: &'a str,
}

impl Source<'_> {
    fn error(&self, span: Option<Range<usize>>, key: &str, problem: Problem) -> Error {
        Error {
            location: Location::new(self.name, self.text, span),
            key: key.to_owned(),
            problem: Box::new(problem),
        }
    }

    fn shape_error(&self, error: &toml::de::Error) -> Error {
        let key = key_at(self.text, error.span());
        let message = error.message().replace('\n', ", ");
        self.error(error.span(), &key, Problem::Shape { message })
    }
}

/// The key on the line at which `span` begins, for errors of the parser, which name none.
fn key_at(text: &str, span: Option<Range<usize>>) -> String {
    let start = span.map_or(0, |span| span.start).min(text.len());
    let line_start = text[..start].rfind('\n').map_or(0, |at| at + 1);
    let line = text[line_start..].lines().next().unwrap_or_default().trim();
    let key = line.split('=').next().unwrap_or_default();
    let key = key.trim_matches(['[', ']', ' ']);
    if key.is_empty() { "(file)" } else { key }.to_owned()
}

/// A customer's file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Customer {
    template: Spanned<String>,
    #[serde(default, rename = "values")]
    _values: BTreeMap<String, toml::Value>,
}

/// The name of the template that a customer's file uses.
pub fn template_name(customer: Source<'_>) -> Result<String, Error> {
    check_length(customer.name, customer.text)?;
    let parsed: Customer =
        toml::from_str(customer.text).map_err(|error| customer.shape_error(&error))?;
    Ok(parsed.template.into_inner())
}

/// Where the template's name stands in a customer's file, for an error about it.
pub fn unknown_template(customer: Source<'_>, name: &str, known: &str) -> Error {
    let span = toml::from_str::<Customer>(customer.text)
        .ok()
        .map(|parsed| parsed.template.span());
    let problem = Problem::NoTemplate {
        name: name.to_owned(),
        known: known.to_owned(),
    };
    customer.error(span, "template", problem)
}

/// Fills a template with a customer's values.
pub fn render(template: Source<'_>, customer: Source<'_>) -> Result<Fleet, Error> {
    check_length(template.name, template.text)?;
    check_length(customer.name, customer.text)?;
    let customer_tree =
        DeTable::parse(customer.text).map_err(|error| customer.shape_error(&error))?;
    let mut tree = DeTable::parse(template.text).map_err(|error| template.shape_error(&error))?;
    let parameters = declared(template)?;
    let mut filler = Filler {
        template,
        values: values(
            template,
            customer,
            &parameters,
            tree.get_ref(),
            customer_tree.get_ref(),
        )?,
        used: Vec::new(),
    };
    tree.get_mut().remove("parameters");
    filler.table(tree.get_mut(), "")?;
    let used = filler.used;
    let fleet = Fleet::deserialize(toml::de::Deserializer::from(tree))
        .map_err(|error| blame(template, &used, &error))?;
    fleet
        .check()
        .map_err(|(key, problem)| contradiction(template, &key, problem))?;
    Ok(fleet)
}

fn contradiction(template: Source<'_>, key: &str, problem: super::fleet::Problem) -> Error {
    let last = key.rsplit('.').next().unwrap_or(key);
    let span = template.text.find(last).map(|at| at..at + last.len());
    template.error(span, key, Problem::Fleet(problem))
}

fn declared(template: Source<'_>) -> Result<Table, Error> {
    #[derive(Deserialize)]
    struct Declarations {
        #[serde(default)]
        parameters: Table,
    }
    let declarations: Declarations =
        toml::from_str(template.text).map_err(|error| template.shape_error(&error))?;
    Ok(declarations.parameters)
}

/// A value and where it was given.
struct Value<'i> {
    value: DeValue<'i>,
    location: Location,
    name: String,
}

fn values<'i>(
    template: Source<'i>,
    customer: Source<'i>,
    parameters: &Table,
    template_tree: &DeTable<'i>,
    customer_tree: &DeTable<'i>,
) -> Result<BTreeMap<String, Value<'i>>, Error> {
    let empty = DeTable::new();
    let given = customer_tree
        .get("values")
        .and_then(|values| values.get_ref().as_table())
        .unwrap_or(&empty);
    for key in given.keys() {
        let name = key.get_ref().as_ref();
        if !parameters.contains_key(name) {
            let known = parameters.keys().cloned().collect::<Vec<_>>().join(", ");
            let name = name.to_owned();
            let problem = Problem::NoParameter { name, known };
            return Err(customer.error(Some(key.span()), key.get_ref(), problem));
        }
    }
    let mut values = BTreeMap::new();
    for (name, parameter) in parameters {
        let given = given.get(name.as_str()).map(|value| (customer, value));
        let default = || parameter::default_of(template_tree, name).map(|value| (template, value));
        let Some((source, value)) = given.or_else(default) else {
            let name = name.clone();
            return Err(customer.error(None, &name.clone(), Problem::NoValue { name }));
        };
        values.insert(name.clone(), checked(name, parameter, source, value)?);
    }
    Ok(values)
}

fn checked<'i>(
    name: &str,
    parameter: &Parameter,
    source: Source<'_>,
    value: &Spanned<DeValue<'i>>,
) -> Result<Value<'i>, Error> {
    parameter
        .check(name, value.get_ref())
        .map_err(|problem| source.error(Some(value.span()), name, problem))?;
    Ok(Value {
        value: value.get_ref().clone(),
        location: Location::new(source.name, source.text, Some(value.span())),
        name: name.to_owned(),
    })
}

/// A placeholder that was filled, for errors in what it led to.
struct Filled {
    span: Range<usize>,
    name: String,
    location: Location,
}

/// An error of the filled tree belongs to the value, when a placeholder stands there.
fn blame(template: Source<'_>, used: &[Filled], error: &toml::de::Error) -> Error {
    let span = error.span();
    let filled = span
        .as_ref()
        .and_then(|span| used.iter().find(|filled| filled.span == *span));
    match filled {
        None => template.shape_error(error),
        Some(filled) => Error {
            location: filled.location.clone(),
            key: filled.name.clone(),
            problem: Box::new(Problem::Shape {
                message: error.message().replace('\n', ", "),
            }),
        },
    }
}

/// Replaces placeholders throughout a tree.
struct Filler<'i> {
    template: Source<'i>,
    values: BTreeMap<String, Value<'i>>,
    used: Vec<Filled>,
}

impl<'i> Filler<'i> {
    fn table(&mut self, table: &mut DeTable<'i>, path: &str) -> Result<(), Error> {
        for (key, value) in table.iter_mut() {
            let path = if path.is_empty() {
                key.get_ref().to_string()
            } else {
                format!("{path}.{}", key.get_ref())
            };
            self.value(value, &path)?;
        }
        Ok(())
    }

    fn value(&mut self, value: &mut Spanned<DeValue<'i>>, path: &str) -> Result<(), Error> {
        let span = value.span();
        match value.get_mut() {
            DeValue::Table(table) => self.table(table, path),
            DeValue::Array(items) => self.array(items, path),
            DeValue::String(text) => {
                let text = text.to_string();
                if let Some(filled) = self.text(&text, &span, path)? {
                    *value.get_mut() = filled;
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn array(&mut self, items: &mut DeArray<'i>, path: &str) -> Result<(), Error> {
        items.iter_mut().try_for_each(|item| self.value(item, path))
    }

    /// What `text` becomes; `None` when it has no placeholder.
    fn text(
        &mut self,
        text: &str,
        span: &Range<usize>,
        path: &str,
    ) -> Result<Option<DeValue<'i>>, Error> {
        if !text.contains("${") {
            return Ok(None);
        }
        let whole = text
            .strip_prefix("${")
            .and_then(|rest| rest.strip_suffix('}'));
        if let Some(name) = whole
            && !name.contains('}')
        {
            return self
                .lookup(name, span, path)
                .map(|value| Some(value.clone()));
        }
        self.interpolate(text, span, path).map(Some)
    }

    fn interpolate(
        &mut self,
        text: &str,
        span: &Range<usize>,
        path: &str,
    ) -> Result<DeValue<'i>, Error> {
        let mut out = String::new();
        let mut rest = text;
        while let Some(at) = rest.find("${") {
            let (before, after) = rest.split_at(at);
            let after = &after[2..];
            if let Some(before) = before.strip_suffix('$') {
                out.push_str(before);
                out.push_str("${");
                rest = after;
                continue;
            }
            out.push_str(before);
            let Some(end) = after.find('}') else {
                return Err(self.error(span, path, Problem::OpenPlaceholder));
            };
            let name = &after[..end];
            match self.lookup(name, span, path)? {
                DeValue::String(text) => out.push_str(text),
                DeValue::Integer(number) => out.push_str(&number.to_string()),
                DeValue::Boolean(flag) => out.push_str(&flag.to_string()),
                _ => {
                    let name = name.to_owned();
                    return Err(self.error(span, path, Problem::ListInText { name }));
                }
            }
            rest = &after[end + 1..];
        }
        out.push_str(rest);
        Ok(DeValue::String(Cow::Owned(out)))
    }

    fn lookup(
        &mut self,
        name: &str,
        span: &Range<usize>,
        path: &str,
    ) -> Result<&DeValue<'i>, Error> {
        let Some(value) = self.values.get(name) else {
            let known = self.values.keys().cloned().collect::<Vec<_>>().join(", ");
            let name = name.to_owned();
            return Err(self.error(span, path, Problem::NoParameter { name, known }));
        };
        self.used.push(Filled {
            span: span.clone(),
            name: value.name.clone(),
            location: value.location.clone(),
        });
        Ok(&value.value)
    }

    fn error(&self, span: &Range<usize>, path: &str, problem: Problem) -> Error {
        self.template.error(Some(span.clone()), path, problem)
    }
}
