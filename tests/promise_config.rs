//! Tests that an accepted configuration becomes active everywhere and never reverts.

mod common;

use common::{MODEL_BYTES, Served, Shape, add_model, all_serve, publish, run, start, until};
use pumicelatch::agent::status::Status;
use pumicelatch::bench::sample;
use pumicelatch::config::{Configuration, Delta, DeltaError, Revision, Value};
use pumicelatch::http::{self, ClientSetting};
use pumicelatch::spread::Favour;
use pumicelatch::standin::fleet::Fleet;
use pumicelatch::weight::Digest;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;

async fn status(fleet: &Fleet, index: usize) -> Option<Status> {
    let client = http::client(ClientSetting::default());
    let url = format!("http://{}/status", fleet.boxes[index].listed.address);
    let answer = http::get_json(&client, &url, 1 << 20, Duration::from_secs(2)).await;
    answer.ok()
}

async fn until_revision(fleet: &Fleet, revision: Revision) {
    let deadline = std::time::Instant::now() + common::PATIENCE;
    for index in 0..fleet.boxes.len() {
        loop {
            let status = status(fleet, index).await;
            if status.is_some_and(|status| status.revision >= revision.0) {
                break;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "box {index} did not reach the revision in time"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn invalid_value_is_reported_and_the_last_valid_one_stays_active() {
    run(async {
        let served = Served::start(Shape {
            boxes: 2,
            ..Shape::default()
        })
        .await;
        let broken =
            "template = \"burst\"\n\n[values]\ndigest = \"nonsense\"\nbytes = 1\nreplicas = 1\n";
        let revision = served
            .fleet
            .platform
            .publish(sample::CUSTOMER, Some(broken));
        until_revision(&served.fleet, revision).await;
        assert!(all_serve(&served.fleet, served.version));
        let status = status(&served.fleet, 0).await.unwrap();
        let (customer, rejected) = &status.rejected[0];
        assert_eq!(customer, sample::CUSTOMER_NAME);
        assert_eq!(rejected.revision, revision);
        let text = rejected.error.to_string();
        assert!(text.contains("customers/nordvind:4: digest"), "{text}");
        let fixed = sample::customer(served.version, MODEL_BYTES, 10);
        let revision = served
            .fleet
            .platform
            .publish(sample::CUSTOMER, Some(&fixed));
        until_revision(&served.fleet, revision).await;
        assert!(nothing_rejected(&served.fleet).await);
    });
}

async fn nothing_rejected(fleet: &Fleet) -> bool {
    status(fleet, 0)
        .await
        .is_some_and(|status| status.rejected.is_empty())
}

#[test]
fn stale_service_reverts_no_box() {
    run(async {
        let served = Served::start(Shape {
            boxes: 2,
            ..Shape::default()
        })
        .await;
        let (newer, _) = add_model(&served.fleet, 2);
        publish(&served.fleet, newer);
        until("the newer version serves", || {
            all_serve(&served.fleet, newer)
        })
        .await;
        // The service reverts to its first two revisions, as if restored from an old backup.
        served.fleet.platform.revert_to(Revision(2));
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        for index in 0..served.fleet.boxes.len() {
            let status = status(&served.fleet, index).await.unwrap();
            assert!(
                status.revision >= 4,
                "box {index} reverted to revision {}",
                status.revision
            );
        }
        assert!(all_serve(&served.fleet, newer));
    });
}

#[test]
fn empty_box_takes_the_newest_revision_from_peers_while_the_service_is_down_or_stale() {
    run(async {
        let mut fleet = start(&Shape {
            boxes: 3,
            entries: 0,
            ..Shape::default()
        });
        let (old, _) = add_model(&fleet, 1);
        publish(&fleet, old);
        until("the old version serves", || all_serve(&fleet, old)).await;
        let (newer, content) = add_model(&fleet, 2);
        publish(&fleet, newer);
        until("the newer version serves", || all_serve(&fleet, newer)).await;
        fleet.platform.set_config_down(true);
        fleet.restart_box(0).unwrap();
        until("the empty box serves the newest version", || {
            all_serve(&fleet, newer)
        })
        .await;
        assert_eq!(fleet.boxes[0].engine.loaded(), vec![(newer, content)]);
        fleet.platform.revert_to(Revision(2));
        fleet.platform.set_config_down(false);
        fleet.restart_box(1).unwrap();
        until(
            "the restarted box serves the newest version despite the stale service",
            || {
                let servable = fleet.boxes[1].probe().servable;
                servable.iter().any(|(digest, _)| *digest == newer)
            },
        )
        .await;
    });
}

#[test]
fn paused_box_does_not_spread_an_old_revision() {
    run(async {
        let fleet = start(&Shape {
            boxes: 3,
            entries: 0,
            ..Shape::default()
        });
        let (old, _) = add_model(&fleet, 1);
        publish(&fleet, old);
        until("the old version serves", || all_serve(&fleet, old)).await;
        fleet.boxes[0].pause(Duration::from_secs(3));
        let (newer, content) = add_model(&fleet, 2);
        publish(&fleet, newer);
        until(
            "all boxes serve the newer version, including the paused one",
            || all_serve(&fleet, newer),
        )
        .await;
        until("the old version is unloaded everywhere", || {
            fleet
                .boxes
                .iter()
                .all(|member| member.engine.loaded() == vec![(newer, content)])
        })
        .await;
    });
}

/// A change to one of a few values, at the next revision.
#[derive(Debug, Clone)]
struct Publication {
    name: usize,
    good: bool,
    removed: bool,
}

/// An event in the schedule.
#[derive(Debug, Clone)]
enum Step {
    /// The operator publishes a value.
    Publish(Publication),
    /// A reader requests what it lacks from a source, which may be stale or another reader.
    Read { reader: usize, source: usize },
    /// A reader loses its state.
    Restart(usize),
    /// A delta that was sent earlier arrives again.
    Replay(usize),
}

const READERS: usize = 4;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let below = |g: &mut Gen, bound: usize| usize::arbitrary(g) % bound;
        match below(g, 10) {
            0..=2 => Self::Publish(Publication {
                name: below(g, 3),
                good: bool::arbitrary(g),
                removed: below(g, 8) == 0,
            }),
            3..=7 => Self::Read {
                reader: below(g, READERS),
                source: below(g, READERS + 2),
            },
            8 => Self::Restart(below(g, READERS)),
            _ => Self::Replay(below(g, READERS)),
        }
    }
}

/// The service's values. A second one serves as a stale copy that is updated only now and then.
#[derive(Default)]
struct Service {
    revision: u64,
    values: BTreeMap<String, Value>,
}

impl Service {
    fn publish(&mut self, publication: &Publication) {
        self.revision += 1;
        let digest = Digest::of(&self.revision.to_le_bytes());
        let text = if publication.good {
            sample::customer(digest, self.revision, 1)
        } else {
            "template = 7".to_owned()
        };
        let value = Value {
            revision: Revision(self.revision),
            text: (!publication.removed).then_some(text),
        };
        self.values
            .insert(format!("customers/c{}", publication.name), value);
    }

    fn delta(&self, from: Revision) -> Delta {
        let newer = self
            .values
            .iter()
            .filter(|(_, value)| value.revision > from);
        let values = newer
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        Delta {
            from,
            to: Revision(self.revision),
            values,
        }
    }
}

fn service_with_template() -> Service {
    let mut service = Service {
        revision: 1,
        ..Service::default()
    };
    let text = sample::template(&["hall".to_owned()], Favour::Time);
    let value = Value {
        revision: Revision(1),
        text: Some(text),
    };
    service.values.insert(sample::TEMPLATE.to_owned(), value);
    service
}

/// Runs a schedule. Returns whether no reader ever reverted or applied a revision partly.
fn never_reverts(steps: Vec<Step>) -> bool {
    let mut service = service_with_template();
    let mut stale = service_with_template();
    let mut readers: Vec<Configuration> = (0..READERS).map(|_| Configuration::default()).collect();
    let mut sent: Vec<Option<Delta>> = vec![None; READERS];
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Publish(publication) => {
                service.publish(publication);
                if number % 5 == 0 {
                    stale.revision = service.revision;
                    stale.values = service.values.clone();
                }
            }
            Step::Restart(reader) => readers[*reader] = Configuration::default(),
            Step::Replay(reader) => {
                if let Some(delta) = sent[*reader].clone()
                    && !apply(&mut readers[*reader], delta, &service)
                {
                    return false;
                }
            }
            Step::Read { reader, source } => {
                let from = readers[*reader].revision();
                let delta = match *source {
                    READERS => service.delta(from),
                    source if source > READERS => stale.delta(from),
                    source => readers[source].delta_since(from),
                };
                sent[*reader] = Some(delta.clone());
                if !apply(&mut readers[*reader], delta, &service) {
                    return false;
                }
            }
        }
    }
    true
}

/// Applies a delta. Returns whether no customer reverted, and the active fleets match what the
/// service had at the revision that the reader claims.
fn apply(reader: &mut Configuration, delta: Delta, service: &Service) -> bool {
    let before: BTreeMap<String, Revision> = reader
        .customers()
        .iter()
        .map(|(name, entry)| (name.clone(), entry.revision))
        .collect();
    let known = reader.revision();
    let (from, to) = (delta.from, delta.to);
    match reader.apply(delta, 0) {
        Err(DeltaError::Older { .. }) => return to <= known,
        Err(DeltaError::Gap { .. }) => return from > known,
        Ok(_) => {}
    }
    let not_reverted = reader.customers().iter().all(|(name, entry)| {
        before
            .get(name)
            .is_none_or(|revision| *revision <= entry.revision)
    });
    let complete = reader.customers().iter().all(|(name, entry)| {
        let value = &service.values[&format!("customers/{name}")];
        // Up to date, or the newest value is later or invalid.
        value.revision <= entry.revision
            || value.revision > reader.revision()
            || reader.rejected().contains_key(name)
    });
    not_reverted && complete && reader.revision() >= known
}

#[test]
fn stale_sources_restarts_and_replays_never_revert_a_reader() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(1_000)
        .quickcheck(never_reverts as fn(Vec<Step>) -> bool);
}
