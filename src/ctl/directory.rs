//! Directories of templates and customers: check, render, compare.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use super::{Error, to_json, values};
use crate::option::Spec;
use crate::template::fleet::Fleet;
use crate::template::render::{self, Source};
use crate::template::{self};

/// Texts by name.
type Texts = BTreeMap<String, String>;

/// A directory as it would be published.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    templates: Texts,
    customers: Texts,
    root: String,
}

impl Directory {
    /// Reads `templates/*.toml` and `customers/*.toml` under `root`.
    pub fn read(root: &str) -> Result<Self, Error> {
        Ok(Self {
            templates: read_all(&format!("{root}/templates"))?,
            customers: read_all(&format!("{root}/customers"))?,
            root: root.to_owned(),
        })
    }

    /// Names of the customers.
    pub fn customers(&self) -> impl Iterator<Item = &String> {
        self.customers.keys()
    }

    /// Renders one customer.
    pub fn render(&self, name: &str) -> Result<Fleet, Error> {
        let Some(text) = self.customers.get(name) else {
            return Err(Error::Customer {
                name: name.to_owned(),
                known: self
                    .customers
                    .keys()
                    .cloned()
                    .collect::<Vec<_>>()
                    .join(", "),
            });
        };
        let file = format!("{}/customers/{name}.toml", self.root);
        let customer = Source { name: &file, text };
        let template = render::template_name(customer)?;
        let Some(text) = self.templates.get(&template) else {
            let known: Vec<&str> = self.templates.keys().map(String::as_str).collect();
            let error = render::unknown_template(customer, &template, &known.join(", "));
            return Err(error.into());
        };
        let file = format!("{}/templates/{template}.toml", self.root);
        let template = Source { name: &file, text };
        Ok(render::render(template, customer)?)
    }

    /// Renders all customers; the first error stops it.
    pub fn fleets(&self) -> Result<BTreeMap<String, Fleet>, Error> {
        self.customers()
            .map(|name| Ok((name.clone(), self.render(name)?)))
            .collect()
    }
}

fn read_all(path: &str) -> Result<Texts, Error> {
    let failed = |source| Error::Read {
        path: path.to_owned(),
        source,
    };
    let mut texts = Texts::new();
    for entry in std::fs::read_dir(path).map_err(failed)? {
        let file = entry.map_err(failed)?.path();
        if file.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let name = file_stem(&file);
        let text = std::fs::read_to_string(&file).map_err(|source| Error::Read {
            path: file.display().to_string(),
            source,
        })?;
        template::check_length(&file.display().to_string(), &text)?;
        texts.insert(name, text);
    }
    Ok(texts)
}

fn file_stem(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn argument(free: &[String], index: usize, what: &'static str) -> Result<String, Error> {
    free.get(index).cloned().ok_or(Error::Argument { what })
}

/// `pumicectl check DIRECTORY`.
pub fn check(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Checks every customer of a directory: pumicectl check DIRECTORY";
    let Some(values) = values("check", summary, &[], arguments)? else {
        return Ok(0);
    };
    let directory = Directory::read(&argument(&values.free, 0, "the directory")?)?;
    let mut wrong = 0;
    for name in directory.customers() {
        if let Err(error) = directory.render(name) {
            eprintln!("{error}");
            wrong += 1;
        }
    }
    let count = directory.customers().count();
    println!("{count} customers checked, {wrong} wrong");
    Ok(i32::from(wrong > 0))
}

/// `pumicectl render DIRECTORY CUSTOMER`.
pub fn render(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Shows what a customer's fleet comes to: pumicectl render DIRECTORY CUSTOMER";
    let specs = [Spec::flag("json", "print JSON instead of TOML")];
    let Some(values) = values("render", summary, &specs, arguments)? else {
        return Ok(0);
    };
    let directory = Directory::read(&argument(&values.free, 0, "the directory")?)?;
    let fleet = directory.render(&argument(&values.free, 1, "the customer")?)?;
    if values.flag("json") {
        println!("{}", to_json(&fleet)?);
    } else {
        print!("{}", to_toml(&fleet)?);
    }
    Ok(0)
}

fn to_toml(fleet: &Fleet) -> Result<String, Error> {
    toml::to_string_pretty(fleet).map_err(|error| Error::Write {
        reason: error.to_string(),
    })
}

/// `pumicectl diff OLD NEW`.
pub fn diff(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Compares what two directories come to, customer by customer:
pumicectl diff OLD-DIRECTORY NEW-DIRECTORY";
    let Some(values) = values("diff", summary, &[], arguments)? else {
        return Ok(0);
    };
    let old = Directory::read(&argument(&values.free, 0, "the old directory")?)?;
    let new = Directory::read(&argument(&values.free, 1, "the new directory")?)?;
    let (old, new) = (old.fleets()?, new.fleets()?);
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let lines = compare(old.get(name), new.get(name))?;
        if !lines.is_empty() {
            println!("customer {name}");
            lines.iter().for_each(|line| println!("  {line}"));
        }
    }
    Ok(0)
}

/// The settings that differ, old ones with a minus and new ones with a plus.
fn compare(old: Option<&Fleet>, new: Option<&Fleet>) -> Result<Vec<String>, Error> {
    let (old, new) = (flatten(old)?, flatten(new)?);
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut lines = Vec::new();
    for key in keys {
        if old.get(key) == new.get(key) {
            continue;
        }
        lines.extend(old.get(key).map(|value| format!("- {key} = {value}")));
        lines.extend(new.get(key).map(|value| format!("+ {key} = {value}")));
    }
    Ok(lines)
}

fn flatten(fleet: Option<&Fleet>) -> Result<BTreeMap<String, String>, Error> {
    let mut flat = BTreeMap::new();
    if let Some(fleet) = fleet {
        let value = serde_json::to_value(fleet).map_err(|error| Error::Write {
            reason: error.to_string(),
        })?;
        walk("", &value, &mut flat);
    }
    Ok(flat)
}

/// Lists leaves by dotted path. Items of a list go by their name or digest where they have one.
fn walk(path: &str, value: &serde_json::Value, flat: &mut BTreeMap<String, String>) {
    let join = |key: &str| match path {
        "" => key.to_owned(),
        path => format!("{path}.{key}"),
    };
    match value {
        serde_json::Value::Object(fields) => {
            for (key, value) in fields {
                walk(&join(key), value, flat);
            }
        }
        serde_json::Value::Array(items) => {
            for (index, item) in items.iter().enumerate() {
                let label = item["name"].as_str().or(item["digest"].as_str());
                let label = label.map_or_else(
                    || index.to_string(),
                    |label| label[..label.len().min(12)].to_owned(),
                );
                walk(&join(&label), item, flat);
            }
        }
        leaf => {
            flat.insert(path.to_owned(), leaf.to_string());
        }
    }
}
