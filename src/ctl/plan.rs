//! Commands on the placement of weights: `plan` compares two placements, `explain` shows why a box
//! holds a version or not.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::directory::Directory;
use super::{Error, inventory, parse_options, to_json};
use crate::member::{Descriptor, Role, State};
use crate::option::Spec;
use crate::placement::{self, Assignment, Shortfall};
use crate::weight::Digest;

/// Changes of the weights on one box.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Change {
    /// Digests and sizes of the weights that it would receive.
    pub gains: BTreeMap<Digest, u64>,
    /// Digests and sizes of the weights that it would release.
    pub loses: BTreeMap<Digest, u64>,
}

/// Difference between two placements.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Plan {
    /// Changes by box name; boxes without a change are omitted.
    pub boxes: BTreeMap<Arc<str>, Change>,
    /// Total bytes that boxes would receive.
    pub bytes: u64,
    /// Demands of the new placement that cannot be met in full.
    pub shortfalls: Vec<Shortfall>,
}

fn assign(directory: Option<&Directory>, boxes: &[Descriptor]) -> Result<Assignment, Error> {
    let mut demands = Vec::new();
    if let Some(directory) = directory {
        for (customer, fleet) in directory.fleets()? {
            demands.extend(placement::fleet_demands(&customer, &fleet));
        }
    }
    let live = boxes
        .iter()
        .filter(|descriptor| descriptor.role == Role::Model && descriptor.state == State::Live);
    Ok(placement::assign(&demands, live))
}

fn assigned_weights(assignment: &Assignment, name: &Arc<str>) -> BTreeMap<Digest, u64> {
    let artifacts = assignment
        .boxes
        .get(name)
        .map(Vec::as_slice)
        .unwrap_or_default();
    artifacts
        .iter()
        .map(|artifact| (artifact.digest, artifact.bytes))
        .collect()
}

/// Compares two assignments.
pub fn compare(old: &Assignment, new: &Assignment) -> Plan {
    let mut plan = Plan {
        shortfalls: new.shortfalls.clone(),
        ..Plan::default()
    };
    let names: BTreeSet<&Arc<str>> = old.boxes.keys().chain(new.boxes.keys()).collect();
    for name in names {
        let (before, after) = (assigned_weights(old, name), assigned_weights(new, name));
        let gains: BTreeMap<Digest, u64> = after
            .iter()
            .filter(|(digest, _)| !before.contains_key(digest))
            .map(|(digest, bytes)| (*digest, *bytes))
            .collect();
        let loses: BTreeMap<Digest, u64> = before
            .into_iter()
            .filter(|(digest, _)| !after.contains_key(digest))
            .collect();
        plan.bytes += gains.values().sum::<u64>();
        if !gains.is_empty() || !loses.is_empty() {
            plan.boxes.insert(name.clone(), Change { gains, loses });
        }
    }
    plan
}

fn specs() -> Vec<Spec> {
    let mut specs = inventory::SPECS.to_vec();
    specs.push(Spec::flag("json", "print JSON"));
    specs
}

/// `pumicectl plan [OLD] NEW`.
pub async fn plan(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Shows which boxes would gain or lose which weights:
pumicectl plan [OLD-DIRECTORY] NEW-DIRECTORY (--boxes FILE | --list-url URL)";
    let Some(values) = parse_options("plan", summary, &specs(), arguments)? else {
        return Ok(0);
    };
    let (old, new) = match values.free.as_slice() {
        [new] => (None, Directory::read(new)?),
        [old, new] => (Some(Directory::read(old)?), Directory::read(new)?),
        _ => {
            return Err(Error::MissingArgument {
                what: "one or two directories",
            });
        }
    };
    let boxes = inventory::boxes(&values).await?;
    let plan = compare(&assign(old.as_ref(), &boxes)?, &assign(Some(&new), &boxes)?);
    if values.flag("json") {
        println!("{}", to_json(&plan)?);
    } else {
        print_plan(&plan);
    }
    Ok(i32::from(!plan.shortfalls.is_empty()))
}

fn print_plan(plan: &Plan) {
    for (name, change) in &plan.boxes {
        for (digest, bytes) in &change.gains {
            println!("{name:<24} gains {} {bytes:>16} bytes", digest.short());
        }
        for (digest, bytes) in &change.loses {
            println!("{name:<24} loses {} {bytes:>16} bytes", digest.short());
        }
    }
    println!(
        "{} boxes change, {} bytes to receive",
        plan.boxes.len(),
        plan.bytes
    );
    for shortfall in &plan.shortfalls {
        println!(
            "short: customer {}, model {}, hall {}: {} of {} replicas fit",
            shortfall.customer, shortfall.model, shortfall.hall, shortfall.placed, shortfall.wanted
        );
    }
}

/// `pumicectl explain DIRECTORY BOX`.
pub async fn explain(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Shows why a box holds or lacks each customer's weights:
pumicectl explain DIRECTORY BOX (--boxes FILE | --list-url URL)";
    let Some(values) = parse_options("explain", summary, &specs(), arguments)? else {
        return Ok(0);
    };
    let [directory, name] = values.free.as_slice() else {
        return Err(Error::MissingArgument {
            what: "a directory and a box",
        });
    };
    let directory = Directory::read(directory)?;
    let boxes = inventory::boxes(&values).await?;
    let assignment = assign(Some(&directory), &boxes)?;
    let Some(descriptor) = boxes.iter().find(|descriptor| *descriptor.name == **name) else {
        println!("{name} is not on the list of boxes");
        return Ok(1);
    };
    for (customer, fleet) in directory.fleets()? {
        for demand in placement::fleet_demands(&customer, &fleet) {
            let held =
                assigned_weights(&assignment, &descriptor.name).contains_key(&demand.version);
            let reason = reason(descriptor, &demand, held);
            let digest = demand.version.short();
            println!(
                "{customer} {} {digest} in {}: {reason}",
                demand.model, demand.hall
            );
        }
    }
    Ok(0)
}

fn reason(descriptor: &Descriptor, demand: &placement::Demand, held: bool) -> String {
    if descriptor.role != Role::Model {
        return "not held: the box has no model engine".to_owned();
    }
    if descriptor.state == State::Leaving {
        return "not held: the box is leaving".to_owned();
    }
    if descriptor.hall != demand.hall {
        return format!("not for this box, which is in hall {}", descriptor.hall);
    }
    if held {
        return format!(
            "held: among the first {} by rank in its rack",
            demand.replicas
        );
    }
    if demand.bytes > descriptor.capacity_bytes {
        return format!(
            "not held: {} bytes exceed the capacity of the box",
            demand.bytes
        );
    }
    format!(
        "not held: {} other boxes rank before it, or it is full",
        demand.replicas
    )
}
