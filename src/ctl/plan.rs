//! What a change of templates would move: which boxes gain or lose which weights.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::directory::Directory;
use super::{Error, fleet, to_json, values};
use crate::member::{Descriptor, Role, State};
use crate::option::Spec;
use crate::placement::{self, Assignment, Shortfall};
use crate::weight::Digest;

/// What one box would gain and lose.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Move {
    /// Weights that it would receive, with their sizes.
    pub gains: BTreeMap<Digest, u64>,
    /// Weights that it would let go.
    pub loses: BTreeMap<Digest, u64>,
}

/// What a change would move.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Plan {
    /// By box; boxes without a change are left out.
    pub boxes: BTreeMap<Arc<str>, Move>,
    /// Bytes that boxes would receive, all together.
    pub bytes: u64,
    /// Demands of the new directory that cannot be met in full.
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
        .filter(|listed| listed.role == Role::Model && listed.state == State::Live);
    Ok(placement::assign(&demands, live))
}

fn held(assignment: &Assignment, name: &Arc<str>) -> BTreeMap<Digest, u64> {
    let carried = assignment
        .boxes
        .get(name)
        .map(Vec::as_slice)
        .unwrap_or_default();
    carried
        .iter()
        .map(|carry| (carry.digest, carry.bytes))
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
        let (before, after) = (held(old, name), held(new, name));
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
            plan.boxes.insert(name.clone(), Move { gains, loses });
        }
    }
    plan
}

fn specs() -> Vec<Spec> {
    let mut specs = fleet::SPECS.to_vec();
    specs.push(Spec::flag("json", "print JSON"));
    specs
}

/// `pumicectl plan [OLD] NEW`.
pub async fn plan(arguments: &[String]) -> Result<i32, Error> {
    let summary = "Which boxes would gain or lose which weights:
pumicectl plan [OLD-DIRECTORY] NEW-DIRECTORY (--boxes FILE | --list-url URL)";
    let Some(values) = values("plan", summary, &specs(), arguments)? else {
        return Ok(0);
    };
    let (old, new) = match values.free.as_slice() {
        [new] => (None, Directory::read(new)?),
        [old, new] => (Some(Directory::read(old)?), Directory::read(new)?),
        _ => {
            return Err(Error::Argument {
                what: "one or two directories",
            });
        }
    };
    let boxes = fleet::boxes(&values).await?;
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
    let summary = "Why a box holds or lacks each customer's weights:
pumicectl explain DIRECTORY BOX (--boxes FILE | --list-url URL)";
    let Some(values) = values("explain", summary, &specs(), arguments)? else {
        return Ok(0);
    };
    let [directory, name] = values.free.as_slice() else {
        return Err(Error::Argument {
            what: "a directory and a box",
        });
    };
    let directory = Directory::read(directory)?;
    let boxes = fleet::boxes(&values).await?;
    let assignment = assign(Some(&directory), &boxes)?;
    let Some(listed) = boxes.iter().find(|listed| *listed.name == **name) else {
        println!("{name} is not on the list of boxes");
        return Ok(1);
    };
    for (customer, fleet) in directory.fleets()? {
        for demand in placement::fleet_demands(&customer, &fleet) {
            let held = held(&assignment, &listed.name).contains_key(&demand.version);
            let reason = reason(listed, &demand, held);
            let digest = demand.version.short();
            println!(
                "{customer} {} {digest} in {}: {reason}",
                demand.model, demand.hall
            );
        }
    }
    Ok(0)
}

fn reason(listed: &Descriptor, demand: &placement::Demand, held: bool) -> String {
    if listed.role != Role::Model {
        return "not held: no model engine stands in this box".to_owned();
    }
    if listed.state == State::Leaving {
        return "not held: the box is leaving".to_owned();
    }
    if listed.hall != demand.hall {
        return format!("not for this box, which stands in {}", listed.hall);
    }
    if held {
        return format!(
            "held: among the first {} by rank in its rack",
            demand.replicas
        );
    }
    if demand.bytes > listed.capacity_bytes {
        return format!("not held: {} bytes do not fit", demand.bytes);
    }
    format!(
        "not held: {} other boxes rank before it, or it is full",
        demand.replicas
    )
}
