//! Replicas as an entry knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use pumicelatch::config::catalog::ListedReplica;
use pumicelatch::config::residency::{Regions, Residency};
use pumicelatch::config::routing::Engine;
use pumicelatch::member::replica::{LoadedModel, Record};
use pumicelatch::policy::Policy;
use pumicelatch::route::estimate::Demand;
use pumicelatch::route::pool::limit::Terms;
use pumicelatch::route::pool::{ModelQuery, Pool, Query};
use pumicelatch::route::replica::Load;

use super::NOW;

pub const MODEL: &str = "model";

pub fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:80", index + 1).parse().unwrap()
}

pub fn load(running: u32, queued: u32, pace: f64) -> Load {
    Load {
        running,
        queued,
        pace,
        alive: true,
        models: vec![LoadedModel {
            model: MODEL.into(),
            version: 1,
        }],
        ..Load::default()
    }
}

/// A pool of idle replicas, one for each of `paces`.
pub fn pool_of(paces: &[f64]) -> Pool {
    let mut pool = Pool::new("hall".into(), Policy::default());
    let listed = |index: usize| {
        let record = Record {
            id: format!("i-{index}").into(),
            born: 0,
            service: "tutor".into(),
            address: address(index),
            hall: "hall".into(),
            slots: 16,
            leaving: false,
            models: vec![LoadedModel {
                model: MODEL.into(),
                version: 1,
            }],
            cold_ms: 0,
        };
        ListedReplica {
            record,
            revision: 1,
            removed_at: None,
            provisional: false,
        }
    };
    let list: BTreeMap<Arc<str>, ListedReplica> = (0..paces.len())
        .map(listed)
        .map(|listed| (listed.record.id.clone(), listed))
        .collect();
    pool.update(&list, |_| None);
    for (index, pace) in paces.iter().enumerate() {
        pool.report(address(index), &load(0, 0, *pace), NOW);
    }
    pool
}

/// The engines' figures and the regions, which a query refers to.
pub struct Site {
    pub engine: Engine,
    pub regions: Regions,
}

impl Site {
    pub fn query(&self, demand: Demand, terms: Option<Terms>) -> Query<'_> {
        Query {
            service: "tutor",
            model: Some(ModelQuery {
                model: MODEL,
                min_version: 0,
                pinned_version: None,
            }),
            engine: Some(&self.engine),
            demand,
            remaining: None,
            terms,
            tried: &[],
            full: &[],
            connections_max: 200,
            residency: &Residency::Anywhere,
            regions: &self.regions,
            cold_per_s: 0.0,
            urgency: 1,
        }
    }
}
