//! Assignment of weights to boxes: a pure function of the configuration and of the boxes and their
//! capacity.
//!
//! Every process computes it on its own and gets the same result from the same input. In each hall,
//! a version's boxes are ranked by rendezvous hashing within each rack and taken from the racks in
//! turn. So replicas spread over racks, and a box that joins or leaves moves few others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Configuration;
use crate::member::Descriptor;
use crate::spread::{Favour, ring};
use crate::template::fleet::{Fleet, Model, Version};
use crate::weight::Digest;

/// Replicas of one version that one hall should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Digest of the version.
    pub version: Digest,
    /// Size of the version, in bytes.
    pub bytes: u64,
    /// Digests and sizes of the adapters that go with the version.
    pub adapters: Vec<(Digest, u64)>,
    /// Name of the data hall.
    pub hall: Arc<str>,
    /// Number of replicas wanted there.
    pub replicas: u32,
    /// Whether their distribution favours time or origin traffic.
    pub favour: Favour,
}

/// Weights assigned to one box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Artifact {
    /// Digest of a version or an adapter.
    pub digest: Digest,
    /// Size in bytes.
    pub bytes: u64,
    /// Customer that the weights belong to.
    pub customer: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Whether their distribution favours time or origin traffic.
    pub favour: Favour,
}

/// A demand that could not be met in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shortfall {
    /// Name of the customer.
    pub customer: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the data hall.
    pub hall: Arc<str>,
    /// Number of replicas wanted.
    pub wanted: u32,
    /// Number of replicas placed.
    pub placed: u32,
}

/// Result of a placement.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Assignment {
    /// Weights assigned to each box, by box name.
    pub boxes: BTreeMap<Arc<str>, Vec<Artifact>>,
    /// Demands that could not be met in full.
    pub shortfalls: Vec<Shortfall>,
}

impl Assignment {
    /// Names of the boxes that hold `digest`.
    pub fn holders(&self, digest: Digest) -> impl Iterator<Item = &Arc<str>> {
        self.boxes
            .iter()
            .filter(move |(_, artifacts)| {
                artifacts.iter().any(|artifact| artifact.digest == digest)
            })
            .map(|(name, _)| name)
    }
}

/// Demands of all customers in the active configuration.
pub fn demands(book: &Configuration) -> Vec<Demand> {
    book.customers()
        .iter()
        .flat_map(|(customer, entry)| fleet_demands(customer, &entry.fleet))
        .collect()
}

/// Demands of one customer's fleet.
pub fn fleet_demands(customer: &str, fleet: &Fleet) -> Vec<Demand> {
    let customer: Arc<str> = customer.into();
    let mut all = Vec::new();
    for model in &fleet.models {
        for version in &model.versions {
            for hall in fleet.placement_halls() {
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

/// Free capacity and contents of a box during placement.
struct Allocation {
    free: u64,
    digests: BTreeSet<Digest>,
    artifacts: Vec<Artifact>,
}

/// Places `demands` on `boxes`.
pub fn assign<'a>(demands: &[Demand], boxes: impl Iterator<Item = &'a Descriptor>) -> Assignment {
    let boxes: Vec<&Descriptor> = boxes.collect();
    let mut allocations: BTreeMap<Arc<str>, Allocation> = boxes
        .iter()
        .map(|candidate| {
            let allocation = Allocation {
                free: candidate.capacity_bytes,
                digests: BTreeSet::new(),
                artifacts: Vec::new(),
            };
            (candidate.name.clone(), allocation)
        })
        .collect();
    let mut shortfalls = Vec::new();
    for demand in demands {
        let placed = place(demand, &boxes, &mut allocations);
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
        boxes: allocations
            .into_iter()
            .map(|(name, allocation)| (name, allocation.artifacts))
            .collect(),
        shortfalls,
    }
}

fn place(
    demand: &Demand,
    boxes: &[&Descriptor],
    allocations: &mut BTreeMap<Arc<str>, Allocation>,
) -> u32 {
    let mut placed = 0;
    for candidate in candidates(demand, boxes) {
        if placed == demand.replicas {
            break;
        }
        if let Some(allocation) = allocations.get_mut(&candidate.name)
            && try_add(demand, allocation)
        {
            placed += 1;
        }
    }
    placed
}

/// Boxes of the demand's hall in the order of preference: the best of each rack, then the second
/// best of each, and so on.
fn candidates<'a>(demand: &Demand, boxes: &[&'a Descriptor]) -> Vec<&'a Descriptor> {
    let score = |kind: &[u8], name: &str| {
        ring::score(
            demand.version,
            &[kind, demand.customer.as_bytes(), name.as_bytes()],
        )
    };
    let mut racks: BTreeMap<&str, Vec<(u64, &'a Descriptor)>> = BTreeMap::new();
    for candidate in boxes
        .iter()
        .filter(|candidate| candidate.hall == demand.hall)
    {
        let entry = (score(b"place", &candidate.name), *candidate);
        racks.entry(&candidate.rack).or_default().push(entry);
    }
    let mut order = Vec::new();
    for (rack, mut ranked) in racks {
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        let rack_score = score(b"rack", rack);
        for (round, (_, candidate)) in ranked.into_iter().enumerate() {
            order.push((round, rack_score, candidate));
        }
    }
    order.sort_by_key(|(round, rack_score, _)| (*round, *rack_score));
    order
        .into_iter()
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Adds a version and its adapters to a box if all of them fit.
fn try_add(demand: &Demand, allocation: &mut Allocation) -> bool {
    let mut wanted = vec![(demand.version, demand.bytes)];
    wanted.extend(&demand.adapters);
    let needed: u64 = wanted
        .iter()
        .filter(|(digest, _)| !allocation.digests.contains(digest))
        .map(|(_, bytes)| bytes)
        .sum();
    if needed > allocation.free {
        return false;
    }
    allocation.free -= needed;
    for (digest, bytes) in wanted {
        allocation.digests.insert(digest);
        allocation.artifacts.push(Artifact {
            digest,
            bytes,
            customer: demand.customer.clone(),
            model: demand.model.clone(),
            favour: demand.favour,
        });
    }
    true
}
