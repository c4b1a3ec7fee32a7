//! Where requests may be served: customers and routes may be bound to regions.
//!
//! A replica whose region is not known serves nobody who is bound.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The regions in which requests may be served.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Residency {
    /// Any.
    #[default]
    Anywhere,
    /// These alone.
    Only(BTreeSet<Arc<str>>),
}

impl Residency {
    /// The regions that both allow.
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, bound) | (bound, Self::Anywhere) => bound.clone(),
            (Self::Only(one), Self::Only(two)) => {
                Self::Only(one.intersection(two).cloned().collect())
            }
        }
    }

    /// Whether a replica in `region` may serve, if that is known.
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
    /// The region of `hall`, if it is known.
    pub fn get(&self, hall: &str) -> Option<&str> {
        self.0.get(hall).map(|region| &**region)
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
