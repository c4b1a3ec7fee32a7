//! The configuration in force: values of the platform's service, by revision, never backwards.
//!
//! [`Configuration`] is pure. It takes deltas from wherever they come (the service, a peer), applies each
//! whole or not at all, keeps the last good fleet of a customer whose newest value is invalid, and
//! refuses whatever would bring an older revision back.

pub mod catalog;
pub mod evacuation;
pub mod residency;
pub mod routing;

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::template::fleet::Fleet;
use crate::template::render::{self, Source};
use crate::template::{self};

/// Leads the names of values that are templates.
pub const TEMPLATES: &str = "templates/";

/// Leads the names of values that are customers' files.
pub const CUSTOMERS: &str = "customers/";

/// A revision of the whole configuration, counted by the platform's service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// One value and the revision that set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The revision that set or removed it.
    pub revision: Revision,
    /// Its text; `None` once it was removed. A removal is kept, so that no old text comes back.
    pub text: Option<String>,
}

/// All values that were set after `from` and up to `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision that the reader had.
    pub from: Revision,
    /// The revision that the reader has afterwards.
    pub to: Revision,
    /// The values, by name.
    pub values: BTreeMap<String, Value>,
}

/// Why a delta was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It ends at or before what is known already.
    #[error("revision {offered} is not newer than {known}", offered = .offered.0, known = .known.0)]
    Older {
        /// Where the delta ends.
        offered: Revision,
        /// What is known.
        known: Revision,
    },
    /// It begins after what is known: changes between would be lost.
    #[error("delta begins at {from}, only {known} is known", from = .from.0, known = .known.0)]
    Gap {
        /// Where the delta begins.
        from: Revision,
        /// What is known.
        known: Revision,
    },
}

/// A customer's fleet as it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Active {
    /// The newest revision of its template and values.
    pub revision: Revision,
    /// What the fleet should carry.
    pub fleet: Rc<Fleet>,
    /// When it came into force here, in Unix milliseconds.
    pub since_ms: u64,
}

/// A customer's newest value, if it is invalid and the last good one stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// The revision that is invalid.
    pub revision: Revision,
    /// What is wrong with it.
    pub error: template::Error,
    /// Since when, in Unix milliseconds.
    pub since_ms: u64,
}

/// One customer's change, for the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The customer.
    pub customer: String,
    /// The revision that caused it.
    pub revision: Revision,
    /// What came of it.
    pub effect: Effect,
}

/// What a change came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The new fleet is in force.
    Accepted,
    /// The new value is invalid; the last good one stays.
    Rejected {
        /// What is wrong, for people.
        reason: String,
    },
    /// The customer is gone.
    Removed,
}

/// What a process knows of the configuration.
#[derive(Debug, Default)]
pub struct Configuration {
    revision: Revision,
    values: BTreeMap<String, Value>,
    in_force: BTreeMap<String, Active>,
    rejected: BTreeMap<String, Rejected>,
}

impl Configuration {
    /// The newest revision that was applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Customers with a fleet in force.
    pub fn customers(&self) -> &BTreeMap<String, Active> {
        &self.in_force
    }

    /// Customers whose newest value is invalid.
    pub fn rejected(&self) -> &BTreeMap<String, Rejected> {
        &self.rejected
    }

    /// Applies a delta whole, or refuses it whole.
    pub fn apply(&mut self, delta: Delta, now_ms: u64) -> Result<Vec<Change>, DeltaError> {
        if delta.to <= self.revision {
            return Err(DeltaError::Older {
                offered: delta.to,
                known: self.revision,
            });
        }
        if delta.from > self.revision {
            return Err(DeltaError::Gap {
                from: delta.from,
                known: self.revision,
            });
        }
        self.revision = delta.to;
        let touched = self.merge(delta.values);
        Ok(self.render(&touched, now_ms))
    }

    /// What a reader at `from` lacks.
    pub fn delta_since(&self, from: Revision) -> Delta {
        let newer = self
            .values
            .iter()
            .filter(|(_, value)| value.revision > from);
        Delta {
            from,
            to: self.revision,
            values: newer
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
        }
    }

    /// Takes the values that are newer than what is known, and returns their names.
    fn merge(&mut self, values: BTreeMap<String, Value>) -> Vec<String> {
        let mut touched = Vec::new();
        for (name, value) in values {
            let known = self.values.get(&name).map(|known| known.revision);
            if known.is_none_or(|known| known < value.revision) {
                touched.push(name.clone());
                self.values.insert(name, value);
            }
        }
        touched
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.values.get(name)?.text.as_deref()
    }

    /// Renders every customer that a touched value concerns.
    fn render(&mut self, touched: &[String], now_ms: u64) -> Vec<Change> {
        let customers: Vec<String> = self
            .values
            .keys()
            .filter(|name| name.starts_with(CUSTOMERS) && self.concerned(name, touched))
            .cloned()
            .collect();
        customers
            .into_iter()
            .map(|name| self.render_customer(&name, now_ms))
            .collect()
    }

    fn concerned(&self, customer: &str, touched: &[String]) -> bool {
        touched.iter().any(|name| {
            name == customer || (name.starts_with(TEMPLATES) && self.uses(customer, name))
        })
    }

    fn uses(&self, customer: &str, template: &str) -> bool {
        self.text(customer)
            .and_then(|text| {
                render::template_name(Source {
                    name: customer,
                    text,
                })
                .ok()
            })
            .is_some_and(|name| template.strip_prefix(TEMPLATES) == Some(&name))
    }

    fn render_customer(&mut self, name: &str, now_ms: u64) -> Change {
        let customer = name[CUSTOMERS.len()..].to_owned();
        let Some(text) = self.text(name) else {
            self.in_force.remove(&customer);
            self.rejected.remove(&customer);
            return Change {
                customer,
                revision: self.values[name].revision,
                effect: Effect::Removed,
            };
        };
        let source = Source { name, text };
        let (revision, rendered) = self.rendering(source);
        match rendered {
            Ok(fleet) => {
                self.rejected.remove(&customer);
                let entry = Active {
                    revision,
                    fleet: Rc::new(fleet),
                    since_ms: now_ms,
                };
                self.in_force.insert(customer.clone(), entry);
                Change {
                    customer,
                    revision,
                    effect: Effect::Accepted,
                }
            }
            Err(error) => {
                let reason = error.to_string();
                let entry = Rejected {
                    revision,
                    error,
                    since_ms: now_ms,
                };
                self.rejected.insert(customer.clone(), entry);
                Change {
                    customer,
                    revision,
                    effect: Effect::Rejected { reason },
                }
            }
        }
    }

    /// Renders one customer, and says which revision that rendering is of.
    fn rendering(&self, customer: Source<'_>) -> (Revision, Result<Fleet, template::Error>) {
        let own = self.values[customer.name].revision;
        let name = match render::template_name(customer) {
            Ok(name) => name,
            Err(error) => return (own, Err(error)),
        };
        let key = format!("{TEMPLATES}{name}");
        let Some(text) = self.text(&key) else {
            let known: Vec<&str> = self
                .values
                .iter()
                .filter(|(_, value)| value.text.is_some())
                .filter_map(|(name, _)| name.strip_prefix(TEMPLATES))
                .collect();
            let error = render::missing_template(customer, &name, &known.join(", "));
            return (own, Err(error));
        };
        let template = Source { name: &key, text };
        let revision = own.max(self.values[&key].revision);
        (revision, render::render(template, customer))
    }
}
