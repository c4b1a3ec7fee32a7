//! Which open connections of a process have gone silent, by what its exchanges find.
//!
//! A path that loses its state (a firewall or a translator that restarts) silences what is open on it
//! for good: no end and no reset comes, and each exchange would wait out its own time limit to find
//! that out. The kernel gives such a connection up after 1.5 to 2.5 s; a watch may wait longer yet.
//! But connections share their path's fate, and one that was opened later works. So a peer that
//! answers on a new connection, and still not on the used one, shows that the path went silent and not
//! the peer. Nothing is expected then of the connections to that peer that were open and have brought
//! nothing since; after a second peer, of none of the process's own. With all connections of a
//! deployment silent at once that is known within 0.3 s; time limits took 1.5 to 2.7 s, one by one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Findings about two peers within so long have one cause: the slowest exchanges that find it,
/// heartbeats, come once a second.
const TOGETHER: Duration = Duration::from_millis(1_500);

/// How long an exchange under way is still given from when its connection is doubted: events of a
/// stream come more often than that, and bytes on their way arrive.
const GRACE: Duration = Duration::from_millis(80);

/// How long a stream is given while some old connections still bring something: a packet that was lost
/// is sent again after 200 ms, and then the next event is due.
const GRACE_DIVIDED: Duration = Duration::from_millis(350);

/// Suspicions of two peers within so long may have one cause: at 27 questions a second the second comes after some
/// 40 ms.
const SUSPECTED_TOGETHER: Duration = Duration::from_millis(250);

/// Exchanges under way that may be asked for again on the word of one peer. With more, questions are as many more, and a second
/// peer shows it soon.
const FEW: usize = 100;

/// Shortest time between two suspicions of all connections. Each has streams ask over new connections, and a busy link
/// raises false ones.
const SUSPECTED_AGAIN: Duration = Duration::from_millis(1_000);

/// Findings about all connections that are remembered.
const REMEMBERED: usize = 16;

/// What one exchange found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Finding {
    /// When what was left unanswered was sent.
    since: Time,
    /// When that was found.
    at: Time,
    /// Whether connections of that time still brought something.
    others: Others,
}

/// How many connections a finding is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those to one peer.
    Peer,
    /// All of the process.
    All,
}

/// Whether connections that were open before a finding still bring something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// None does.
    Silent,
    /// Some do: only a part went silent, or a packet was lost.
    Heard,
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It rests. It is given up for little: another is opened in its place.
    Idle,
    /// Its exchange waits for the first byte, which may take long where there is a queue.
    Waiting,
    /// The answer of its exchange is coming in.
    Receiving,
}

/// A connection, as far as its silence is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// Whose it is.
    pub peer: SocketAddr,
    /// When it was opened.
    pub opened: Time,
    /// When it brought something last, or was opened.
    pub last_received: Time,
    /// What it is doing.
    pub status: Status,
}

/// What a process has found of its connections.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    peers: BTreeMap<SocketAddr, Finding>,
    /// Findings of one silence of all connections, the earliest sent first.
    all: Vec<Finding>,
}

impl Detector {
    /// `peer` answered on a new connection, and until `now` not on a used one, what was sent there at
    /// `since`.
    pub fn report_silent(
        &mut self,
        peer: SocketAddr,
        since: Time,
        others: Others,
        now: Time,
    ) -> Scope {
        let finding = Finding {
            since,
            at: now,
            others,
        };
        let explained = |by: &Finding| since <= by.at;
        if !self.peers.get(&peer).is_some_and(explained) {
            self.peers.insert(peer, finding);
        }
        if self.all.iter().any(explained) {
            self.remember(vec![finding]);
            return Scope::All;
        }
        let concluded = self.all.iter().map(|found| found.at).max();
        let fresh = |found: &Finding| concluded.is_none_or(|at| found.since > at);
        let lately = |found: &Finding| now.since(found.at) < TOGETHER;
        let together = self.peers.values().copied();
        let together: Vec<Finding> = together
            .filter(|found| lately(found) && fresh(found))
            .collect();
        if together.len() < 2 {
            return Scope::Peer;
        }
        self.all.clear();
        self.remember(together);
        Scope::All
    }

    fn remember(&mut self, findings: Vec<Finding>) {
        self.all.extend(findings);
        self.all.sort_by_key(|found| found.since);
        self.all.truncate(REMEMBERED);
    }

    /// When a connection is given up, unless something comes before; `None` if it is not doubted.
    pub fn close_deadline(&self, connection: Connection) -> Option<Time> {
        let of_peer = self.peers.get(&connection.peer);
        let of_peer = of_peer.and_then(|found| found.close_deadline(connection, found.since));
        // All went silent before what was left unanswered first was sent.
        let first = self.all.first().map(|found| found.since);
        let of_all = first.and_then(|first| {
            let due = self.all.iter();
            due.filter_map(|found| found.close_deadline(connection, first))
                .min()
        });
        of_peer.into_iter().chain(of_all).min()
    }
}

impl Finding {
    /// When it gives up a connection, if that was opened before `first` and has brought nothing since.
    fn close_deadline(self, connection: Connection, first: Time) -> Option<Time> {
        if connection.opened >= first || connection.last_received >= self.since {
            return None;
        }
        match (connection.status, self.others) {
            (Status::Idle, _) => Some(self.at),
            (_, Others::Silent) => Some(self.at + GRACE),
            (Status::Receiving, Others::Heard) => Some(self.at + GRACE_DIVIDED),
            // It may wait in a queue, and other old connections work.
            (Status::Waiting, Others::Heard) => None,
        }
    }
}

/// Whether connections may have gone silent, before that is confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Suspicion {
    lately: Option<(SocketAddr, Time)>,
    told: Option<Time>,
}

impl Suspicion {
    /// A new connection to `peer` brought something before a used one did, while so many exchanges were under way. Returns
    /// whether all connections are suspected by that: because of a second peer, or because it costs little.
    pub fn raise(&mut self, peer: SocketAddr, under_way: usize, now: Time) -> bool {
        let before = self.lately.replace((peer, now));
        let second =
            before.is_some_and(|(other, at)| other != peer && now.since(at) < SUSPECTED_TOGETHER);
        let again = self.told.is_none_or(|at| now.since(at) >= SUSPECTED_AGAIN);
        let all = again && (second || under_way <= FEW);
        if all {
            self.told = Some(now);
        }
        all
    }
}
