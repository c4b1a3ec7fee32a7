//! Which boxes carry which weights: a pure function of configuration, boxes and their capacity.
//!
//! Every process computes it alone and comes to the same result from the same input. In each hall
//! a version's boxes are ranked by rendezvous hashing within each rack, and taken from the racks
//! in turn, so that replicas spread over racks and a box that comes or goes moves few others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::member::Descriptor;
use crate::spread::{Favour, ring};
use crate::template::fleet::{Fleet, Model, Version};
use crate::weight::Digest;

/// Replicas of one version that one hall should carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The customer.
    pub customer: Arc<str>,
    /// The model's name.
    pub model: Arc<str>,
    /// The version.
    pub version: Digest,
    /// Bytes of the version.
    pub bytes: u64,
    /// Adapters that go with it.
    pub adapters: Vec<(Digest, u64)>,
    /// The data hall.
    pub hall: Arc<str>,
    /// Replicas wanted there.
    pub replicas: u32,
    /// What weighs more while it spreads.
    pub favour: Favour,
}

/// Weights that one box should carry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Artifact {
    /// The weights' digest: a version's or an adapter's.
    pub digest: Digest,
    /// Their size.
    pub bytes: u64,
    /// The customer they are carried for.
    pub customer: Arc<str>,
    /// The model's name.
    pub model: Arc<str>,
    /// What weighs more while they spread.
    pub favour: Favour,
}

/// A demand that could not be met in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// The customer.
    pub customer: Arc<str>,
    /// The model's name.
    pub model: Arc<str>,
    /// The data hall.
    pub hall: Arc<str>,
    /// Replicas wanted.
    pub wanted: u32,
    /// Replicas placed.
    pub placed: u32,
}

/// Who carries what.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Assignment {
    /// What each box carries, by box name.
    pub boxes: BTreeMap<Arc<str>, Vec<Artifact>>,
    /// Demands that were not met in full.
    pub shortfalls: Vec<Shortfall>,
}

impl Assignment {
    /// The boxes that carry `digest`.
    pub fn holders(&self, digest: Digest) -> impl Iterator<Item = &Arc<str>> {
        self.boxes
            .iter()
            .filter(move |(_, carried)| carried.iter().any(|carry| carry.digest == digest))
            .map(|(name, _)| name)
    }
}

/// The demands of all customers in force.
pub fn demands(book: &Configuration) -> Vec<Demand> {
    book.customers()
        .iter()
        .flat_map(|(customer, entry)| fleet_demands(customer, &entry.fleet))
        .collect()
}

/// The demands of one customer's fleet.
pub fn fleet_demands(customer: &str, fleet: &Fleet) -> Vec<Demand> {
    let customer: Arc<str> = customer.into();
    let mut all = Vec::new();
    for model in &fleet.models {
        for version in &model.versions {
            for hall in fleet.carrying_halls() {
                all.push(demand(&customer, model, version, hall));
            }
        }
    }
    all
}

fn demand(customer: &Arc<str>, model: &Model, version: &Version, hall: &str) -> Demand {
    Demand {
        customer: customer.clone(),
        model: model.name.as_str().into(),
        version: version.digest,
        bytes: version.bytes,
        adapters: version
            .adapters
            .iter()
            .map(|adapter| (adapter.digest, adapter.bytes))
            .collect(),
        hall: hall.into(),
        replicas: model.replicas,
        favour: model.favour,
    }
}

/// A box while it is being filled.
struct Load {
    free: u64,
    held: BTreeSet<Digest>,
    carried: Vec<Artifact>,
}

/// Places `demands` on `boxes`.
pub fn assign<'a>(demands: &[Demand], boxes: impl Iterator<Item = &'a Descriptor>) -> Assignment {
    let boxes: Vec<&Descriptor> = boxes.collect();
    let mut loads: BTreeMap<Arc<str>, Load> = boxes
        .iter()
        .map(|listed| {
            let load = Load {
                free: listed.capacity_bytes,
                held: BTreeSet::new(),
                carried: Vec::new(),
            };
            (listed.name.clone(), load)
        })
        .collect();
    let mut shortfalls = Vec::new();
    for demand in demands {
        let placed = place(demand, &boxes, &mut loads);
        if placed < demand.replicas {
            shortfalls.push(Shortfall {
                customer: demand.customer.clone(),
                model: demand.model.clone(),
                hall: demand.hall.clone(),
                wanted: demand.replicas,
                placed,
            });
        }
    }
    Assignment {
        boxes: loads
            .into_iter()
            .map(|(name, load)| (name, load.carried))
            .collect(),
        shortfalls,
    }
}

fn place(demand: &Demand, boxes: &[&Descriptor], loads: &mut BTreeMap<Arc<str>, Load>) -> u32 {
    let mut placed = 0;
    for listed in candidates(demand, boxes) {
        if placed == demand.replicas {
            break;
        }
        if let Some(load) = loads.get_mut(&listed.name)
            && fill(demand, load)
        {
            placed += 1;
        }
    }
    placed
}

/// The hall's boxes in the order in which they are tried: the best of each rack, then the second
/// best of each, and so on.
fn candidates<'a>(demand: &Demand, boxes: &[&'a Descriptor]) -> Vec<&'a Descriptor> {
    let score = |kind: &[u8], name: &str| {
        ring::score(
            demand.version,
            &[kind, demand.customer.as_bytes(), name.as_bytes()],
        )
    };
    let mut racks: BTreeMap<&str, Vec<(u64, &'a Descriptor)>> = BTreeMap::new();
    for listed in boxes.iter().filter(|listed| listed.hall == demand.hall) {
        let entry = (score(b"place", &listed.name), *listed);
        racks.entry(&listed.rack).or_default().push(entry);
    }
    let mut order = Vec::new();
    for (rack, mut ranked) in racks {
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let rack_score = score(b"rack", rack);
        for (round, (_, listed)) in ranked.into_iter().enumerate() {
            order.push((round, rack_score, listed));
        }
    }
    order.sort_by_key(|(round, rack_score, _)| (*round, *rack_score));
    order.into_iter().map(|(_, _, listed)| listed).collect()
}

/// Puts a version and its adapters on a box if all of them fit.
fn fill(demand: &Demand, load: &mut Load) -> bool {
    let mut wanted = vec![(demand.version, demand.bytes)];
    wanted.extend(&demand.adapters);
    let needed: u64 = wanted
        .iter()
        .filter(|(digest, _)| !load.held.contains(digest))
        .map(|(_, bytes)| bytes)
        .sum();
    if needed > load.free {
        return false;
    }
    load.free -= needed;
    for (digest, bytes) in wanted {
        load.held.insert(digest);
        load.carried.push(Artifact {
            digest,
            bytes,
            customer: demand.customer.clone(),
            model: demand.model.clone(),
            favour: demand.favour,
        });
    }
    true
}
