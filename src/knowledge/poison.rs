//! Entries tell each other under which requests replicas ended.
//!
//! Whoever learns of an end tells the entries of its hall and two of each other hall at once, and those tell theirs: all know
//! within a fraction of a second. What was lost on the way is found by heartbeats, which carry a digest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::sleep;
use serde::{Deserialize, Serialize};

use super::Knowledge;
use super::gossip;
use super::readers::Readers;
use crate::exchange::Note;
use crate::member::rank::{rank, weight};
use crate::request::poison::{CaseReport, RequestHash};

/// Path of a [`Notice`].
pub const PATH: &str = "/v1/poison";

/// Path of an [`Ask`].
pub const TRIAL_PATH: &str = "/v1/poison/try";

/// What is learned within so long is told together: the runs of a replica that ended break at the same moment.
const GATHERED: Duration = Duration::from_millis(30);

/// Entries of another hall that are told: one may have gone without its noticing.
const FAR: usize = 2;

/// How long the entry that deals out single tries may take to answer, over a used connection and after that over a new one.
const ANSWERS_WITHIN: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(60));

/// What an entry knows of requests under which replicas ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The hall of the entry that tells.
    #[serde(default)]
    pub hall: Arc<str>,
    /// The requests.
    #[serde(default)]
    pub cases: Vec<CaseReport>,
    /// Whether it wants to be told what the other knows.
    #[serde(default)]
    pub asks: bool,
}

/// Asks for the single try of a request that is barred.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// What is known of the request.
    pub case: CaseReport,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether it may be tried now.
    pub given: bool,
}

/// Tells the others what is learned here, until dropped.
pub async fn run(knowledge: Rc<Knowledge>) {
    loop {
        knowledge.poison_changed.notified().await;
        sleep(GATHERED).await;
        let cases = knowledge.poison.borrow_mut().take_changes(knowledge.now());
        if cases.is_empty() {
            continue;
        }
        let mut told = knowledge.local_peers();
        told.extend(far(&knowledge));
        send(&knowledge, told, cases);
    }
}

/// The entries of other halls to tell.
fn far(knowledge: &Knowledge) -> Vec<SocketAddr> {
    let peers = knowledge.peers.borrow();
    let halls = peers.by_other_hall(&knowledge.identity.hall, knowledge.now());
    let ranked = halls.into_values().map(|entries| Readers::ranked(&entries));
    ranked
        .flat_map(|entries| entries.into_iter().take(FAR))
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
            let told = gossip::call::<_, Notice>(&knowledge, entry, PATH, &*notice).await;
            if let Err(error) = told {
                log::info!(entry:% = entry; "poison requests not told: {error}");
            }
        });
    }
}

/// Takes what another entry tells. Returns what it is told in turn.
pub fn apply_notice(knowledge: &Rc<Knowledge>, notice: &Notice) -> Notice {
    let now = knowledge.now();
    let news = knowledge.poison.borrow_mut().merge(&notice.cases, now);
    // Whoever learned of it in this hall has told all of it.
    if !news.is_empty() && notice.hall != knowledge.identity.hall {
        send(knowledge, knowledge.local_peers(), news);
    }
    let known = || knowledge.poison.borrow().reports(now);
    Notice {
        hall: knowledge.identity.hall.clone(),
        cases: if notice.asks { known() } else { Vec::new() },
        asks: false,
    }
}

/// Puts together what this entry and `peer` know, whose heartbeat shows that it is not the same.
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
        Err(error) => log::info!(peer:% = peer; "poison requests not compared: {error}"),
    }
    knowledge.poison_comparing.set(false);
}

/// Asks for the single try of `name`: one entry deals it out for all that know each other.
pub async fn claim_trial(knowledge: &Knowledge, name: RequestHash) -> bool {
    let now = knowledge.now();
    let own = knowledge.identity.address;
    let others: Vec<SocketAddr> = {
        let peers = knowledge.peers.borrow();
        peers.alive(now).map(|(address, _)| address).collect()
    };
    let subject = name.to_string();
    if rank(own, others.iter().copied(), &subject) == 0 {
        return give_try(knowledge, name);
    }
    let first = others
        .into_iter()
        .max_by_key(|entry| weight(*entry, &subject));
    let case = knowledge.poison.borrow().case(name, now);
    let (Some(first), Some(case)) = (first, case) else {
        return false;
    };
    let (ask, note) = (Claim { case }, Note::default());
    let answer =
        gossip::call_within::<_, Answer>(knowledge, first, TRIAL_PATH, &ask, ANSWERS_WITHIN, &note);
    match answer.await {
        Ok(answer) => answer.given,
        Err(error) => {
            log::info!(name:% = name, entry:% = first; "no try of a barred request: {error}");
            false
        }
    }
}

/// Answers an entry that asks for a single try.
pub fn answer_trial(knowledge: &Knowledge, ask: &Claim) -> Answer {
    let (name, now) = (ask.case.request, knowledge.now());
    let told = std::slice::from_ref(&ask.case);
    knowledge.poison.borrow_mut().merge(told, now);
    Answer {
        given: give_try(knowledge, name),
    }
}

fn give_try(knowledge: &Knowledge, name: RequestHash) -> bool {
    let given = knowledge
        .poison
        .borrow_mut()
        .claim_trial(name, knowledge.now());
    if given {
        log::info!(name:% = name; "a barred request is tried once");
        knowledge.poison_changed.notify_one();
    }
    given
}
