//! The active configuration: values published by the platform's service, ordered by revision.
//!
//! [`Configuration`] does no I/O. It accepts deltas from any source (the service or a peer),
//! applies each completely or not at all, keeps the last valid fleet of a customer whose newest
//! value is invalid, and rejects deltas that would return to an older revision.

pub mod catalog;
pub mod evacuation;
pub mod residency;
pub mod revision;
pub mod routing;
pub mod urgency;

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::template::fleet::Fleet;
use crate::template::render::{self, Source};
use crate::template::{self};

/// Name prefix of values that hold templates.
pub const TEMPLATES: &str = "templates/";

/// Name prefix of values that hold customer files.
pub const CUSTOMERS: &str = "customers/";

/// A revision of the whole configuration, assigned by the platform's service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A value and the revision that set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// The revision that set or removed the value.
    pub revision: Revision,
    /// The text, or `None` after a removal. Removals are kept so that an older text can't reappear.
    pub text: Option<String>,
}

/// All values that were set after revision `from`, up to and including `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The reader's revision before the delta.
    pub from: Revision,
    /// The reader's revision after the delta.
    pub to: Revision,
    /// The values by name.
    pub values: BTreeMap<String, Value>,
}

/// Why a delta was not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta ends at or before the known revision.
    #[error("revision {offered} is not newer than {known}", offered = .offered.0, known = .known.0)]
    Older {
        /// The revision at which the delta ends.
        offered: Revision,
        /// The known revision.
        known: Revision,
    },
    /// The delta starts after the known revision, so the changes in between would be lost.
    #[error("delta starts at revision {from}, but only {known} is known", from = .from.0, known = .known.0)]
    Gap {
        /// The revision at which the delta starts.
        from: Revision,
        /// The known revision.
        known: Revision,
    },
}

/// The active fleet of a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Active {
    /// The newest revision of its template and values.
    pub revision: Revision,
    /// The rendered fleet.
    pub fleet: Rc<Fleet>,
    /// When it became active in this process, in Unix milliseconds.
    pub since_ms: u64,
}

/// An invalid newest value of a customer. The last valid fleet stays active.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejected {
    /// The invalid revision.
    pub revision: Revision,
    /// The validation error.
    pub error: template::Error,
    /// When this process rejected it, in Unix milliseconds.
    pub since_ms: u64,
}

/// A change of one customer, for the audit log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The customer.
    pub customer: String,
    /// The revision that caused the change.
    pub revision: Revision,
    /// The result of the change.
    pub effect: Effect,
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The new fleet is active.
    Accepted,
    /// The new value is invalid; the last valid fleet stays active.
    Rejected {
        /// The validation error as text.
        reason: String,
    },
    /// The customer was removed.
    Removed,
}

/// The configuration known to a process.
#[derive(Debug, Default)]
pub struct Configuration {
    revision: Revision,
    values: BTreeMap<String, Value>,
    active: BTreeMap<String, Active>,
    rejected: BTreeMap<String, Rejected>,
}

impl Configuration {
    /// The newest applied revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Customers with an active fleet.
    pub fn customers(&self) -> &BTreeMap<String, Active> {
        &self.active
    }

    /// Customers whose newest value is invalid.
    pub fn rejected(&self) -> &BTreeMap<String, Rejected> {
        &self.rejected
    }

    /// Applies a delta completely, or returns an error and changes nothing.
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
        let changed = self.merge(delta.values);
        Ok(self.render(&changed, now_ms))
    }

    /// Returns everything that a reader at revision `from` lacks.
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

    /// Stores the values that are newer than the known ones and returns their names.
    fn merge(&mut self, values: BTreeMap<String, Value>) -> Vec<String> {
        let mut changed = Vec::new();
        for (name, value) in values {
            let known = self.values.get(&name).map(|known| known.revision);
            if known.is_none_or(|known| known < value.revision) {
                changed.push(name.clone());
                self.values.insert(name, value);
            }
        }
        changed
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.values.get(name)?.text.as_deref()
    }

    /// Renders every customer that is affected by the changed values.
    fn render(&mut self, changed: &[String], now_ms: u64) -> Vec<Change> {
        let customers: Vec<String> = self
            .values
            .keys()
            .filter(|name| name.starts_with(CUSTOMERS) && self.is_affected(name, changed))
            .cloned()
            .collect();
        customers
            .into_iter()
            .map(|name| self.render_customer(&name, now_ms))
            .collect()
    }

    fn is_affected(&self, customer: &str, changed: &[String]) -> bool {
        changed.iter().any(|name| {
            name == customer || (name.starts_with(TEMPLATES) && self.uses_template(customer, name))
        })
    }

    fn uses_template(&self, customer: &str, template: &str) -> bool {
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
            self.active.remove(&customer);
            self.rejected.remove(&customer);
            return Change {
                customer,
                revision: self.values[name].revision,
                effect: Effect::Removed,
            };
        };
        let source = Source { name, text };
        let (revision, rendered) = self.render_source(source);
        match rendered {
            Ok(fleet) => {
                self.rejected.remove(&customer);
                let entry = Active {
                    revision,
                    fleet: Rc::new(fleet),
                    since_ms: now_ms,
                };
                self.active.insert(customer.clone(), entry);
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

    /// Renders one customer. Returns the revision that the result belongs to.
    fn render_source(&self, customer: Source<'_>) -> (Revision, Result<Fleet, template::Error>) {
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
            let error = render::unknown_template(customer, &name, &known.join(", "));
            return (own, Err(error));
        };
        let template = Source { name: &key, text };
        let revision = own.max(self.values[&key].revision);
        (revision, render::render(template, customer))
    }
}
