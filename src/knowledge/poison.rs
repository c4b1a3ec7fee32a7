//! Distributes among entries under which requests, and parts of prompts, replicas crashed.
//!
//! An entry that detects a crash immediately notifies the entries of its hall and two entries of each
//! other hall, which notify those of theirs, so all know of it within a fraction of a second. Lost
//! notices are detected by means of heartbeats, which carry a digest. Sidecars compare as well, so that
//! entries that all start again at the same time learn from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use serde::{Deserialize, Serialize};

use super::Knowledge;
use super::gossip;
use super::readers::Readers;
use crate::exchange::Recorder;
use crate::member::rank::{rank, weight};
use crate::request::poison::{CaseReport, Group, Subject};

/// Path of a [`Notice`].
pub const PATH: &str = "/v1/poison";

/// Path of a [`Claim`].
pub const TRIAL_PATH: &str = "/v1/poison/try";

/// Delay before a notice is sent, so that it includes all cases found within this time: the requests in
/// progress at a replica that crashes all fail at the same moment.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// Number of entries of each other hall that are notified: one may have left without this entry noticing.
const REMOTE_RECEIVERS: usize = 2;

/// Timeouts for the answer of the entry that grants trials: over a used connection, and then over a new one.
const TRIAL_TIMEOUTS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(60));

/// The crashes that an entry knows of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The hall of the sender.
    #[serde(default)]
    pub hall: Arc<str>,
    /// The requests and parts of prompts under which they happened.
    #[serde(default)]
    pub cases: Vec<CaseReport>,
    /// Whether the sender requests the cases that the receiver knows.
    #[serde(default)]
    pub asks: bool,
}

/// Claims the single trial of a blocked request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// What the sender knows of the first blocked subject of the request.
    pub case: CaseReport,
    /// What it knows of the others.
    #[serde(default)]
    pub others: Vec<CaseReport>,
}

/// The answer to a [`Claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the trial is granted.
    pub given: bool,
}

/// Notifies other entries of the cases found by this one, until dropped.
pub async fn run(knowledge: Rc<Knowledge>) {
    loop {
        knowledge.poison_changed.notified().await;
        sleep(BATCH_DELAY).await;
        let cases = knowledge.poison.borrow_mut().take_changes(knowledge.now());
        if cases.is_empty() {
            continue;
        }
        let mut receivers = knowledge.local_peers();
        receivers.extend(remote_receivers(&knowledge));
        send(&knowledge, receivers, cases);
    }
}

/// The entries of other halls to notify.
pub(super) fn remote_receivers(knowledge: &Knowledge) -> Vec<SocketAddr> {
    let peers = knowledge.peers.borrow();
    let halls = peers.by_other_hall(&knowledge.identity.hall, knowledge.now());
    let ranked = halls.into_values().map(|entries| Readers::ranked(&entries));
    ranked
        .flat_map(|entries| entries.into_iter().take(REMOTE_RECEIVERS))
        .collect()
}

fn send(knowledge: &Rc<Knowledge>, entries: Vec<SocketAddr>, cases: Vec<CaseReport>) {
    let notice = Rc::new(Notice {
        hall: knowledge.identity.hall.clone(),
        cases,
        asks: false,
    });
    for entry in entries {
        let (knowledge, notice) = (knowledge.clone(), notice.clone());
        actix_rt::spawn(async move {
            let result = gossip::call::<_, Notice>(&knowledge, entry, PATH, &*notice).await;
            match result {
                Ok(answer) => apply_contradictions(&knowledge, &answer.cases),
                Err(error) => {
                    log::info!(entry:% = entry; "failed to send poison requests: {error}");
                }
            }
        });
    }
}

/// Applies what the receiver of a notice answered: later successes, which the others that received
/// the notice do not know either.
fn apply_contradictions(knowledge: &Rc<Knowledge>, cases: &[CaseReport]) {
    let changes = merge(knowledge, cases);
    if changes.is_empty() {
        return;
    }
    let mut receivers = knowledge.local_peers();
    receivers.extend(remote_receivers(knowledge));
    send(knowledge, receivers, changes);
}

/// Merges the reports of another entry, and returns what was new.
fn merge(knowledge: &Knowledge, cases: &[CaseReport]) -> Vec<CaseReport> {
    let now = knowledge.now();
    let changes = knowledge.poison.borrow_mut().merge(cases, now);
    log_newly_blocked(knowledge);
    changes
}

/// Logs what is blocked from now on.
pub fn log_newly_blocked(knowledge: &Knowledge) {
    let now = knowledge.now();
    let groups = knowledge.poison.borrow_mut().take_newly_blocked();
    // Sidecars block nothing.
    let groups = groups.into_iter().filter(|_| knowledge.identity.entry);
    for group in groups {
        let name = describe(&group);
        let register = knowledge.poison.borrow();
        let cases = group
            .subjects()
            .filter_map(|subject| register.case(subject, now));
        let crashes = cases.map(|case| case.crashes).max_by_key(Vec::len);
        let crashes = crashes.iter().flatten();
        let crashes: Vec<String> = crashes
            .map(|crash| format!("{} {} ms ago", crash.instance.id, crash.age_ms))
            .collect();
        log::warn!(name; "request blocked: replicas ended under it: {}", crashes.join(", "));
    }
}

/// The subjects of `group` as they appear in logs.
fn describe(group: &Group) -> String {
    let subjects: Vec<String> = group
        .subjects()
        .map(|subject| subject.to_string())
        .collect();
    subjects.join(" ")
}

/// Applies the notice of another entry. Returns the notice to answer with.
pub fn apply_notice(knowledge: &Rc<Knowledge>, notice: &Notice) -> Notice {
    let now = knowledge.now();
    let changes = merge(knowledge, &notice.cases);
    // A sender in the same hall has already notified all of its entries.
    if !changes.is_empty() && notice.hall != knowledge.identity.hall {
        send(knowledge, knowledge.local_peers(), changes);
    }
    let register = knowledge.poison.borrow();
    let cases = if notice.asks {
        register.reports(now)
    } else {
        register.contradictions(&notice.cases, now)
    };
    Notice {
        hall: knowledge.identity.hall.clone(),
        cases,
        asks: false,
    }
}

/// Exchanges all known cases with `peer`, whose heartbeat has shown that it knows different ones.
pub async fn compare(knowledge: Rc<Knowledge>, peer: SocketAddr) {
    if knowledge.poison_comparing.replace(true) {
        return;
    }
    let notice = Notice {
        hall: knowledge.identity.hall.clone(),
        cases: knowledge.poison.borrow().reports(knowledge.now()),
        asks: true,
    };
    match gossip::call::<_, Notice>(&knowledge, peer, PATH, &notice).await {
        Ok(answer) => {
            apply_notice(&knowledge, &answer);
        }
        Err(error) => log::info!(peer:% = peer; "failed to compare poison requests: {error}"),
    }
    knowledge.poison_comparing.set(false);
}

/// Claims the single trial of what is blocked of a request with `subjects`. One entry grants it on
/// behalf of all entries that know each other.
pub async fn claim_trial(knowledge: &Knowledge, subjects: &[Subject]) -> bool {
    let now = knowledge.now();
    let mut cases = knowledge
        .poison
        .borrow()
        .blocked_cases(subjects, now)
        .into_iter();
    let Some(case) = cases.next() else {
        return false;
    };
    let claim = Claim {
        case,
        others: cases.collect(),
    };
    let own = knowledge.identity.address;
    let others: Vec<SocketAddr> = {
        let peers = knowledge.peers.borrow();
        peers.alive(now).map(|(address, _)| address).collect()
    };
    let subject = claim.case.subject.to_string();
    if rank(own, others.iter().copied(), &subject) == 0 {
        return grant_trial(knowledge, &claim);
    }
    let first = others
        .into_iter()
        .max_by_key(|entry| weight(*entry, &subject));
    let Some(first) = first else {
        return false;
    };
    let recorder = Recorder::default();
    let answer = gossip::call_within::<_, Answer>(
        knowledge,
        first,
        TRIAL_PATH,
        &claim,
        TRIAL_TIMEOUTS,
        &recorder,
    );
    match answer.await {
        Ok(answer) => answer.given,
        Err(error) => {
            log::info!(name = subject, entry:% = first; "failed to claim the trial of a blocked request: {error}");
            false
        }
    }
}

/// Answers an entry that claims a trial.
pub fn answer_trial(knowledge: &Knowledge, claim: &Claim) -> Answer {
    merge(knowledge, std::slice::from_ref(&claim.case));
    merge(knowledge, &claim.others);
    Answer {
        given: grant_trial(knowledge, claim),
    }
}

/// Whether entries of all data halls are heard. Halls that are cut off from each other would each
/// grant trials, of which every one may crash a replica.
fn hears_all_halls(knowledge: &Knowledge) -> bool {
    let now = knowledge.now();
    let peers = knowledge.peers.borrow();
    let regions = knowledge.regions.borrow();
    let mut halls = regions.halls();
    halls.all(|hall| hall == &*knowledge.identity.hall || !peers.of_hall(hall, now).is_empty())
}

fn grant_trial(knowledge: &Knowledge, claim: &Claim) -> bool {
    if !hears_all_halls(knowledge) {
        log::info!(name:% = claim.case.subject; "no trial of a blocked request while a data hall is not heard");
        return false;
    }
    let cases = std::iter::once(&claim.case).chain(&claim.others);
    let subjects: Vec<Subject> = cases.map(|case| case.subject).collect();
    let granted = knowledge
        .poison
        .borrow_mut()
        .claim_trial(&subjects, knowledge.now());
    if granted {
        log::info!(name:% = claim.case.subject; "granted the trial of a blocked request");
        knowledge.poison_changed.notify_one();
    }
    granted
}
