//! Exchanges with the entries of other data halls how replicas do.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;

use super::Gateway;
use crate::knowledge::gossip;
use crate::knowledge::halls::Ask;
use crate::wire::sync::{Digest, HALL_PATH, HallNews, PASS_ON_PATH, Sync};

/// How often it is looked whether a hall is to be asked.
const LOOK: Duration = Duration::from_millis(50);

/// Asks other halls until dropped.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        for ask in gateway.due_halls() {
            actix_rt::spawn(ask_hall(gateway.clone(), ask));
        }
        sleep(LOOK).await;
    }
}

async fn ask_hall(gateway: Rc<Gateway>, ask: Ask) {
    let knowledge = &gateway.knowledge;
    let sync = knowledge.sync(ask.wants_peers);
    let answer = gossip::ask::<_, HallNews>(knowledge, ask.entry, HALL_PATH, &sync).await;
    gateway.halls.borrow_mut().answered(&ask.hall);
    let HallNews { digest, news } = match answer {
        Ok(answer) => answer,
        Err(error) => {
            log::debug!(entry:% = ask.entry, hall = &*ask.hall; "hall: {error}");
            return;
        }
    };
    gossip::take(knowledge, ask.entry, news);
    gateway.take_digest(&digest);
    if ask.pass_on {
        pass_on(&gateway, digest);
    }
}

fn pass_on(gateway: &Rc<Gateway>, digest: Digest) {
    let digest = Rc::new(digest);
    for fellow in gateway.knowledge.fellows() {
        let (gateway, digest) = (gateway.clone(), digest.clone());
        actix_rt::spawn(async move {
            let knowledge = &gateway.knowledge;
            let told = gossip::ask::<_, ()>(knowledge, fellow, PASS_ON_PATH, &*digest).await;
            if let Err(error) = told {
                log::debug!(entry:% = fellow; "hall passed on: {error}");
            }
        });
    }
}

impl Gateway {
    fn due_halls(&self) -> Vec<Ask> {
        let knowledge = &self.knowledge;
        if !knowledge.policy.digests {
            return Vec::new();
        }
        let identity = &knowledge.identity;
        let peers = knowledge.peers.borrow();
        let mut rng = knowledge.rng.borrow_mut();
        let mut halls = self.halls.borrow_mut();
        halls.due(
            identity.address,
            &identity.hall,
            &peers,
            knowledge.now(),
            &mut *rng,
        )
    }

    /// Answers how this hall's replicas do.
    pub(super) fn hall_news(&self, sync: &Sync) -> HallNews {
        let now = self.knowledge.now();
        let hall = self.knowledge.identity.hall.clone();
        HallNews {
            digest: Digest {
                replicas: self.pool.borrow().reports(&hall, now),
                hall,
            },
            news: self.knowledge.news_for(sync, false),
        }
    }

    /// Takes how another hall's replicas do.
    pub(super) fn take_digest(&self, digest: &Digest) {
        self.refresh_pool();
        let now = self.knowledge.now();
        let mut pool = self.pool.borrow_mut();
        for told in &digest.replicas {
            let age = Duration::from_millis(told.age_ms);
            pool.report(told.address, &told.load, now - age);
        }
        self.halls.borrow_mut().heard(&digest.hall, now);
    }
}
