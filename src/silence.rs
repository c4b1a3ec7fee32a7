//! Which open connections of a process have gone silent, by what its exchanges find.
//!
//! A path that loses its state (a firewall or a translator that restarts) silences what is open on it for
//! good: no end and no reset comes, and each exchange would wait out its own time limit to find that out. The
//! kernel gives such a connection up after 1.5 to 2.5 s; a watch may wait longer yet. But connections
//! share their path's fate, and one that was opened later works. So a peer that
//! answers on a new connection what it left unanswered on a used one shows that the path went silent and not the peer.
//! Nothing is expected then of the connections to that peer that have brought nothing since; after a second
//! peer, of none of the process's own. With all of a deployment's connections silent at once, requests were in
//! time again after 0.3 s, and after 3.5 s without this.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Findings about two peers within so long have one cause: the slowest exchanges that find it, heartbeats,
/// come once a second.
const TOGETHER: Duration = Duration::from_millis(1_500);

/// How long an exchange under way is still given from when its connection is doubted: events of a stream
/// come more often than that, and bytes on their way arrive.
const GRACE: Duration = Duration::from_millis(80);

/// How long it is given while some old connections still bring something: a packet that was lost is sent
/// again after 200 ms, and then the next event is due.
const GRACE_DIVIDED: Duration = Duration::from_millis(350);

/// What was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Finding {
    /// Connections that have brought nothing since then are doubted.
    since: Time,
    /// When it was found.
    at: Time,
    /// How long exchanges under way are still given from then on.
    grace: Duration,
}

/// How many connections a finding is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// Those to one peer.
    Peer,
    /// All of the process.
    All,
}

/// Whether connections that were opened before a finding still bring something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// None does.
    Silent,
    /// Some do: only a part went silent, or a packet was lost.
    Heard,
}

/// What a process has found of its connections.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    peers: BTreeMap<SocketAddr, Finding>,
    all: Option<Finding>,
}

impl Findings {
    /// `peer` answered on a new connection, at `now`, what it had left unanswered on a used one from
    /// `since` on.
    pub fn silent(&mut self, peer: SocketAddr, since: Time, others: Others, now: Time) -> Extent {
        let grace = match others {
            Others::Silent => GRACE,
            Others::Heard => GRACE_DIVIDED,
        };
        let finding = Finding {
            since,
            at: now,
            grace,
        };
        self.peers.insert(peer, finding);
        // What was sent before the last conclusion is explained by it.
        let explained = |found: &Finding| self.all.is_some_and(|all| found.since <= all.at);
        let lately = |found: &Finding| now.since(found.at) < TOGETHER;
        let together: Vec<Finding> = self
            .peers
            .values()
            .copied()
            .filter(|found| lately(found) && !explained(found))
            .collect();
        if together.len() < 2 || explained(&finding) {
            return Extent::Peer;
        }
        let first = together.iter().map(|found| found.since).min();
        self.all = Some(Finding {
            since: first.unwrap_or(since),
            ..finding
        });
        Extent::All
    }

    /// Whether a connection to `peer` is doubted that brought something at `heard` last, or was opened
    /// then.
    pub fn doubts(&self, peer: SocketAddr, heard: Time) -> bool {
        self.gives_up(peer, heard).is_some()
    }

    /// When an exchange under way on such a connection is given up, unless something comes before;
    /// `None` if the connection is not doubted.
    pub fn gives_up(&self, peer: SocketAddr, heard: Time) -> Option<Time> {
        let about = [self.peers.get(&peer).copied(), self.all];
        let doubting = about.into_iter().flatten();
        let doubting = doubting.filter(|found| heard < found.since);
        doubting.map(|found| found.at + found.grace).min()
    }
}
