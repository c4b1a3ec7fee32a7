//! Data residency: customers and routes may be restricted to regions.
//!
//! A replica in an unknown region serves no restricted request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The regions in which requests may be served.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum Residency {
    /// Any region.
    #[default]
    Anywhere,
    /// Only these regions.
    Only(BTreeSet<Arc<str>>),
}

impl Residency {
    /// Returns the regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, bound) | (bound, Self::Anywhere) => bound.clone(),
            (Self::Only(first), Self::Only(second)) => {
                Self::Only(first.intersection(second).cloned().collect())
            }
        }
    }

    /// Whether a replica in `region` may serve. `None` is an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

/// The region of each data hall.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Regions(BTreeMap<Arc<str>, Arc<str>>);

impl Regions {
    /// Returns the region of `hall`, if known.
    pub fn get(&self, hall: &str) -> Option<&str> {
        self.0.get(hall).map(|region| &**region)
    }

    /// Returns all data halls.
    pub fn halls(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(|hall| &**hall)
    }
}

impl<H: Into<Arc<str>>, R: Into<Arc<str>>> FromIterator<(H, R)> for Regions {
    fn from_iter<I: IntoIterator<Item = (H, R)>>(halls: I) -> Self {
        let halls = halls.into_iter();
        Self(
            halls
                .map(|(hall, region)| (hall.into(), region.into()))
                .collect(),
        )
    }
}
