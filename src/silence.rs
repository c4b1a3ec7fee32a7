//! Detects open connections that have gone silent, from the results of a process's exchanges.
//!
//! When a device on the network path loses its connection state (such as a firewall or NAT that
//! restarts), all connections that are open through it stay silent for good: neither a FIN nor a RST
//! arrives, and each exchange would find out only by its own timeout. The kernel drops such a
//! connection after 1.5 to 2.5 s; a watch may wait even longer. However, all connections on the path
//! are affected together, and connections opened later work. So if a peer answers on a new
//! connection, and still not on the used one, the path has gone silent and not the peer. From then
//! on, the older connections to that peer that have received nothing since are treated as dead; after
//! the same finding for a second peer, those of the whole process. If all connections of a deployment
//! go silent at once, this detects it within 0.3 s; timeouts took 1.5 to 2.7 s, one after the other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;

/// Maximum time between findings about two peers that are attributed to the same cause. Heartbeats, the
/// least frequent exchanges that make such findings, are sent once a second.
const CORRELATION_WINDOW: Duration = Duration::from_millis(1_500);

/// How long an exchange in progress may continue after its connection is found silent. Events of a
/// stream are more frequent than this, and bytes already on their way arrive within it.
const CLOSE_DELAY: Duration = Duration::from_millis(80);

/// Replaces [`CLOSE_DELAY`] for a stream while some old connections still receive data: a lost packet
/// is retransmitted after 200 ms, and the next event follows.
const CLOSE_DELAY_PARTIAL: Duration = Duration::from_millis(350);

/// Maximum time between suspicions of two peers that may have the same cause. At 27 requests a second,
/// the second suspicion follows after about 40 ms.
const SUSPICION_WINDOW: Duration = Duration::from_millis(250);

/// Maximum number of exchanges in progress at which a suspicion of a single peer extends to all
/// connections. With more, the number of repeated requests would grow accordingly, and a second peer
/// shows the silence soon.
const FEW_IN_FLIGHT: usize = 100;

/// Minimum time between two suspicions of all connections. Each makes streams send requests over new
/// connections, and busy links cause false suspicions.
const SUSPICION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of stored findings about all connections.
const FINDINGS_MAX: usize = 16;

/// The finding of one exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Finding {
    /// When the unanswered request was sent.
    sent_at: Time,
    /// When the silence was found.
    found_at: Time,
    /// Whether other connections of that time have received data since.
    others: Others,
}

/// The connections to which a finding applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The connections to one peer.
    Peer,
    /// All connections of the process.
    All,
}

/// Whether other connections that were open when the unanswered request was sent still receive data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// None receives data.
    Silent,
    /// Some receive data: only some connections have gone silent, or a packet was lost.
    Heard,
}

/// Use of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// It is idle. It is closed on little evidence, as another one can be opened instead.
    Idle,
    /// Its exchange waits for the first byte, which may take long if the peer queues requests.
    Waiting,
    /// It is receiving the answer of its exchange.
    Receiving,
}

/// The state of a connection that determines whether it is considered silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connection {
    /// The address of the peer.
    pub peer: SocketAddr,
    /// When it was opened.
    pub opened: Time,
    /// When it last received data, or else when it was opened.
    pub last_received: Time,
    /// Its use.
    pub status: Status,
}

/// The findings of a process about its connections.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    peers: BTreeMap<SocketAddr, Finding>,
    /// Findings about the same silence of all connections, ordered by `sent_at`.
    all: Vec<Finding>,
}

impl Detector {
    /// Records that `peer` answered a request on a new connection, and until `now` not on a used one,
    /// on which it was sent at `sent_at`. Returns the connections to which this applies.
    pub fn report_silent(
        &mut self,
        peer: SocketAddr,
        sent_at: Time,
        others: Others,
        now: Time,
    ) -> Scope {
        let finding = Finding {
            sent_at,
            found_at: now,
            others,
        };
        let explained = |by: &Finding| sent_at <= by.found_at;
        if !self.peers.get(&peer).is_some_and(explained) {
            self.peers.insert(peer, finding);
        }
        if self.all.iter().any(explained) {
            self.add_findings(vec![finding]);
            return Scope::All;
        }
        let last_conclusion = self.all.iter().map(|found| found.found_at).max();
        let is_new = |found: &Finding| last_conclusion.is_none_or(|at| found.sent_at > at);
        let recent = |found: &Finding| now.since(found.found_at) < CORRELATION_WINDOW;
        let correlated = self.peers.values().copied();
        let correlated: Vec<Finding> = correlated
            .filter(|found| recent(found) && is_new(found))
            .collect();
        if correlated.len() < 2 {
            return Scope::Peer;
        }
        self.all.clear();
        self.add_findings(correlated);
        Scope::All
    }

    fn add_findings(&mut self, findings: Vec<Finding>) {
        self.all.extend(findings);
        self.all.sort_by_key(|found| found.sent_at);
        self.all.truncate(FINDINGS_MAX);
    }

    /// When to close a connection unless it receives data before; `None` if it is not considered
    /// silent.
    pub fn close_deadline(&self, connection: Connection) -> Option<Time> {
        let of_peer = self.peers.get(&connection.peer);
        let of_peer = of_peer.and_then(|found| found.close_deadline(connection, found.sent_at));
        // All connections had gone silent when the earliest unanswered request was sent.
        let first = self.all.first().map(|found| found.sent_at);
        let of_all = first.and_then(|first| {
            let deadlines = self.all.iter();
            deadlines
                .filter_map(|found| found.close_deadline(connection, first))
                .min()
        });
        of_peer.into_iter().chain(of_all).min()
    }
}

impl Finding {
    /// When to close a connection by this finding; `None` unless it was opened before `first` and has
    /// received nothing since the request was sent.
    fn close_deadline(self, connection: Connection, first: Time) -> Option<Time> {
        if connection.opened >= first || connection.last_received >= self.sent_at {
            return None;
        }
        match (connection.status, self.others) {
            (Status::Idle, _) => Some(self.found_at),
            (_, Others::Silent) => Some(self.found_at + CLOSE_DELAY),
            (Status::Receiving, Others::Heard) => Some(self.found_at + CLOSE_DELAY_PARTIAL),
            // The peer may have queued the request, and other old connections work.
            (Status::Waiting, Others::Heard) => None,
        }
    }
}

/// Suspects connections of having gone silent before this is confirmed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Suspicion {
    last_suspect: Option<(SocketAddr, Time)>,
    last_raised: Option<Time>,
}

impl Suspicion {
    /// Records that a new connection to `peer` received data before a used one did, with `in_flight`
    /// exchanges in progress. Returns whether all connections are suspected as a result: because of a
    /// second peer, or because it costs little.
    pub fn raise(&mut self, peer: SocketAddr, in_flight: usize, now: Time) -> bool {
        let previous = self.last_suspect.replace((peer, now));
        let other_peer =
            previous.is_some_and(|(other, at)| other != peer && now.since(at) < SUSPICION_WINDOW);
        let interval_elapsed = self
            .last_raised
            .is_none_or(|at| now.since(at) >= SUSPICION_INTERVAL);
        let all = interval_elapsed && (other_peer || in_flight <= FEW_IN_FLIGHT);
        if all {
            self.last_raised = Some(now);
        }
        all
    }
}
