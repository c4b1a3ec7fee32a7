//! An accepted configuration is in force everywhere and never reverts.

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
                "box {index} lags behind"
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn an_invalid_value_leaves_the_last_good_one_in_force_and_is_shown() {
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
        assert!(status_without_rejections(&served.fleet).await);
    });
}

async fn status_without_rejections(fleet: &Fleet) -> bool {
    status(fleet, 0)
        .await
        .is_some_and(|status| status.rejected.is_empty())
}

#[test]
fn a_service_that_comes_back_stale_reverts_nobody() {
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
        // The service falls back to its first two revisions, as one restored from an old copy.
        served.fleet.platform.revert_to(Revision(2));
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        for index in 0..served.fleet.boxes.len() {
            let status = status(&served.fleet, index).await.unwrap();
            assert!(
                status.revision >= 4,
                "box {index} went back to {}",
                status.revision
            );
        }
        assert!(all_serve(&served.fleet, newer));
    });
}

#[test]
fn a_box_started_empty_while_the_service_is_down_or_stale_takes_its_peers_newest() {
    run(async {
        let mut fleet = start(&Shape {
            boxes: 3,
            entries: 0,
            ..Shape::default()
        });
        let (old, _) = add_model(&fleet, 1);
        publish(&fleet, old);
        until("served", || all_serve(&fleet, old)).await;
        let (newer, content) = add_model(&fleet, 2);
        publish(&fleet, newer);
        until("newer served", || all_serve(&fleet, newer)).await;
        fleet.platform.set_config_down(true);
        fleet.restart_box(0).unwrap();
        until("the empty box serves the newest", || {
            all_serve(&fleet, newer)
        })
        .await;
        assert_eq!(fleet.boxes[0].engine.loaded(), vec![(newer, content)]);
        fleet.platform.revert_to(Revision(2));
        fleet.platform.set_config_down(false);
        fleet.restart_box(1).unwrap();
        until("it serves the newest, whatever the service says", || {
            let servable = fleet.boxes[1].probe().servable;
            servable.iter().any(|(digest, _)| *digest == newer)
        })
        .await;
    });
}

#[test]
fn a_box_that_slept_through_a_change_does_not_spread_the_old_one() {
    run(async {
        let fleet = start(&Shape {
            boxes: 3,
            entries: 0,
            ..Shape::default()
        });
        let (old, _) = add_model(&fleet, 1);
        publish(&fleet, old);
        until("served", || all_serve(&fleet, old)).await;
        fleet.boxes[0].pause(Duration::from_secs(3));
        let (newer, content) = add_model(&fleet, 2);
        publish(&fleet, newer);
        until("all serve the newer, the sleeper too", || {
            all_serve(&fleet, newer)
        })
        .await;
        until("the old one is let go everywhere", || {
            fleet
                .boxes
                .iter()
                .all(|member| member.engine.loaded() == vec![(newer, content)])
        })
        .await;
    });
}

/// A change to one of a few names, at the next revision.
#[derive(Debug, Clone)]
struct Publication {
    name: usize,
    good: bool,
    removed: bool,
}

/// What happens to one reader.
#[derive(Debug, Clone)]
enum Step {
    /// The operator publishes.
    Publish(Publication),
    /// A reader asks a source for what it lacks. Sources may be stale or other readers.
    Read { reader: usize, source: usize },
    /// A reader loses everything.
    Restart(usize),
    /// An answer that was sent long ago arrives.
    Replay(usize),
}

const READERS: usize = 4;

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen, bound: usize| usize::arbitrary(g) % bound;
        match small(g, 10) {
            0..=2 => Self::Publish(Publication {
                name: small(g, 3),
                good: bool::arbitrary(g),
                removed: small(g, 8) == 0,
            }),
            3..=7 => Self::Read {
                reader: small(g, READERS),
                source: small(g, READERS + 2),
            },
            8 => Self::Restart(small(g, READERS)),
            _ => Self::Replay(small(g, READERS)),
        }
    }
}

/// The service: its history, and a stale copy that stands still now and then.
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

fn with_template() -> Service {
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

/// Runs a schedule. Returns whether any reader ever went back, or held half a revision.
fn holds(steps: Vec<Step>) -> bool {
    let mut service = with_template();
    let mut stale = with_template();
    let mut books: Vec<Configuration> = (0..READERS).map(|_| Configuration::default()).collect();
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
            Step::Restart(reader) => books[*reader] = Configuration::default(),
            Step::Replay(reader) => {
                if let Some(delta) = sent[*reader].clone()
                    && !take(&mut books[*reader], delta, &service)
                {
                    return false;
                }
            }
            Step::Read { reader, source } => {
                let from = books[*reader].revision();
                let delta = match *source {
                    READERS => service.delta(from),
                    source if source > READERS => stale.delta(from),
                    source => books[source].delta_since(from),
                };
                sent[*reader] = Some(delta.clone());
                if !take(&mut books[*reader], delta, &service) {
                    return false;
                }
            }
        }
    }
    true
}

/// Applies a delta. Returns whether no customer went back, and what is in force is what the service
/// had at the revision that the book claims.
fn take(book: &mut Configuration, delta: Delta, service: &Service) -> bool {
    let before: BTreeMap<String, Revision> = book
        .customers()
        .iter()
        .map(|(name, entry)| (name.clone(), entry.revision))
        .collect();
    let known = book.revision();
    let (from, to) = (delta.from, delta.to);
    match book.apply(delta, 0) {
        Err(DeltaError::Older { .. }) => return to <= known,
        Err(DeltaError::Gap { .. }) => return from > known,
        Ok(_) => {}
    }
    let forward = book.customers().iter().all(|(name, entry)| {
        before
            .get(name)
            .is_none_or(|revision| *revision <= entry.revision)
    });
    let whole = book.customers().iter().all(|(name, entry)| {
        let value = &service.values[&format!("customers/{name}")];
        // Up to date, or the newest value came later or is invalid.
        value.revision <= entry.revision
            || value.revision > book.revision()
            || book.rejected().contains_key(name)
    });
    forward && whole && book.revision() >= known
}

#[test]
fn no_schedule_of_stale_sources_restarts_and_replays_reverts_a_reader() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 7))
        .tests(1_000)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
