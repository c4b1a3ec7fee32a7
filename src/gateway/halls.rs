//! Sends the state of replicas to the other entries of the local hall, and polls other halls for
//! theirs.

use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;

use super::Gateway;
use crate::clock::Time;
use crate::knowledge::fanout::{self, Message};
use crate::knowledge::gossip;
use crate::knowledge::hub::Content;
use crate::knowledge::polls::Poll;
use crate::knowledge::readers::Readers;
use crate::knowledge::rounds::PeerExchange;
use crate::wire::pack;
use crate::wire::sync::{Frame, HALL_PATH, HallStatus, HallUpdate, Heartbeat, ReplicaStatus};

/// Interval at which this module checks whether a frame or a poll is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Replicas of another hall that a report includes: the least loaded ones. Requests go to another
/// hall only when the local one is full, and a hall has no more entries than this.
const REMOTE_REPLICAS_MAX: usize = 64;

/// Sends frames and polls halls until dropped.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        if gateway.knowledge.policy.digests {
            gateway.exchange_with_halls();
        }
        sleep(CHECK_INTERVAL).await;
    }
}

async fn poll_hall(gateway: Rc<Gateway>, poll: Poll) {
    let knowledge = &gateway.knowledge;
    let heartbeat = knowledge.heartbeat_with(if poll.wants_peers {
        PeerExchange::PushPullHall
    } else {
        PeerExchange::Skip
    });
    let answer = gossip::call::<_, HallUpdate>(knowledge, poll.entry, HALL_PATH, &heartbeat).await;
    gateway.halls.borrow_mut().finished(&poll.hall);
    match answer {
        Ok(answer) => {
            let status = answer.digest();
            gossip::apply_answer(knowledge, poll.entry, answer.update);
            match status {
                Ok(status) => gateway.apply_hall_status(&status),
                Err(error) => {
                    log::warn!(
                        entry:% = poll.entry, hall = &*poll.hall;
                        "cannot unpack the replicas in the hall's answer: {error}"
                    );
                }
            }
        }
        Err(error) => {
            log::debug!(entry:% = poll.entry, hall = &*poll.hall; "cannot poll the hall: {error}");
        }
    }
}

/// Returns the [`REMOTE_REPLICAS_MAX`] least loaded replicas. Those that take no requests sort
/// last: they mostly have nothing in progress and would otherwise displace replicas that can serve.
fn least_loaded(mut reports: Vec<ReplicaStatus>) -> Vec<ReplicaStatus> {
    let key = |reported: &ReplicaStatus| {
        (
            !reported.load.accepts_requests(),
            reported.load.in_progress(),
        )
    };
    reports.sort_by_key(key);
    reports.truncate(REMOTE_REPLICAS_MAX);
    reports
}

impl Gateway {
    fn exchange_with_halls(self: &Rc<Self>) {
        let knowledge = &self.knowledge;
        let now = knowledge.now();
        let own = knowledge.identity.address;
        let local_peers = knowledge.local_peers();
        let rank = Readers::rank(own, &local_peers);
        if !self.hub.borrow().is_active(rank, now) {
            return;
        }
        for poll in self.due_polls(now) {
            actix_rt::spawn(poll_hall(self.clone(), poll));
        }
        let changed = self
            .pool
            .borrow()
            .last_availability_change(&knowledge.identity.hall);
        let content = self.hub.borrow_mut().due(rank, changed, now);
        if let Some(content) = content {
            self.send_frame(content, now);
        }
    }

    fn due_polls(&self, now: Time) -> Vec<Poll> {
        let knowledge = &self.knowledge;
        let peers = knowledge.peers.borrow();
        let mut rng = knowledge.rng.borrow_mut();
        let mut halls = self.halls.borrow_mut();
        halls.due(&knowledge.identity.hall, &peers, now, &mut *rng)
    }

    /// Sends one frame, encoded once, to each other entry of the hall.
    fn send_frame(&self, content: Content, now: Time) {
        let knowledge = &self.knowledge;
        let heartbeat = knowledge.heartbeat(content == Content::Whole { entries: true });
        let header = self.hub.borrow_mut().next_header(heartbeat.revisions);
        let frame = Frame {
            digests: self.statuses(content, now),
            update: knowledge.update_since(header.baseline),
            incarnation: header.incarnation,
            number: header.number,
            heartbeat,
        };
        match pack::pack(&frame) {
            Ok(packed) => {
                let message = Message::Frame(packed.into());
                fanout::send(knowledge, &message, knowledge.local_peers());
            }
            Err(error) => log::error!("cannot encode the frame for the hall: {error}"),
        }
    }

    fn statuses(&self, content: Content, now: Time) -> Vec<HallStatus> {
        let own = &self.knowledge.identity.hall;
        match content {
            Content::Since(since) => vec![HallStatus {
                hall: own.clone(),
                replicas: self.pool.borrow().reports_since(own, since, now),
            }],
            Content::Whole { .. } => {
                let halls = self.pool.borrow().halls();
                let statuses = halls.into_iter().map(|hall| HallStatus {
                    replicas: self.reports(&hall, now),
                    hall,
                });
                statuses.collect()
            }
        }
    }

    /// Reports of a hall's replicas: of all in the local hall, of the least loaded in another.
    fn reports(&self, hall: &str, now: Time) -> Vec<ReplicaStatus> {
        let reports = self.pool.borrow().reports(hall, now);
        if *hall == *self.knowledge.identity.hall {
            return reports;
        }
        least_loaded(reports)
    }

    /// Answers another hall's poll with the state of this hall's least loaded replicas.
    pub(super) fn hall_update(&self, heartbeat: &Heartbeat) -> HallUpdate {
        let now = self.knowledge.now();
        let hall = self.knowledge.identity.hall.clone();
        let replicas = least_loaded(self.pool.borrow().reports(&hall, now));
        let update = self.knowledge.update_for_hall(heartbeat);
        HallUpdate::new(
            HallStatus { hall, replicas },
            update,
            heartbeat.takes_packed_digest,
        )
    }

    /// Applies a frame from another entry of the hall unless it is outdated. Returns its heartbeat
    /// in both cases.
    pub(super) fn apply_frame(&self, frame: Frame) -> Heartbeat {
        let (from, now) = (frame.heartbeat.from, self.knowledge.now());
        let mut hub = self.hub.borrow_mut();
        let accepted = hub.accept_frame(from, frame.incarnation, frame.number, now);
        drop(hub);
        if accepted {
            for status in &frame.digests {
                self.apply_hall_status(status);
            }
            if let Some(update) = frame.update {
                self.knowledge.apply_update(from, update);
            }
        }
        frame.heartbeat
    }

    /// Applies the reports of a hall's replicas to the pool.
    fn apply_hall_status(&self, status: &HallStatus) {
        self.refresh_pool();
        let now = self.knowledge.now();
        for reported in &status.replicas {
            let age = Duration::from_millis(reported.age_ms);
            self.apply_load(reported.address, &reported.load, now - age);
        }
    }
}
