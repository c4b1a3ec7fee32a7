//! Decides whether a response without a length is complete: only if its connection was closed in order
//! and the process that sent it is known to run after that. A process that crashes or exits closes its
//! connections as well, so the close alone shows nothing, and neither does a new connection, which a
//! successor or the kernel may have accepted.
//!
//! A connection that was opened before the end and is answered after it shows that the same process
//! still runs, whatever the answer says. On any other connection, the answer has to name the instance.

use std::fmt;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::sleep;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::stream::FuturesUnordered;

use super::{
    Checkout, Client, Error, Options, Recorder, Request, Response, Sending, Unframed, broken,
    still_open,
};
use crate::clock::Time;
use crate::member::replica::Instance;

/// Time without a result after which the peer is asked over another connection as well: the one in use
/// may have gone silent. Doubles each time.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a connection that was closed or reset without an answer. Doubles each time.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time since a request was sent within which its replica can't have started again.
const RESTART_MIN: Duration = Duration::from_millis(500);

/// Time after which the check is given up.
const CHECK_TIMEOUT: Duration = Duration::from_secs(6);

/// Largest body, in bytes, of an answer to a probe that is read.
const BODY_MAX: usize = 64 << 10;

/// The instance of the peer that an answer comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// The instance that sent the response.
    Same,
    /// One with its id. The answer does not tell whether the peer has started again under it.
    SameId,
    /// Another one.
    Other,
    /// The answer does not tell.
    Unknown,
}

/// The connection of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It was opened before the response ended.
    Earlier,
    /// It may have been opened after the end, since the response was too short for an earlier one.
    First,
    /// It may have been opened after the end, and the earlier one was lost or the response took long.
    Renewed,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The peer answered.
    Answered(Identity, Contact),
    /// Nobody listens at the peer's address.
    Refused,
    /// The connection ended or could not be opened.
    Lost,
}

/// Why a response that ended with its connection does not count as complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Doubt {
    /// The connection failed while the request was sent, so its close may be a reset.
    #[error("sending the request had failed: {0}")]
    SendFailed(io::ErrorKind),
    /// Nobody listens at the peer's address any more.
    #[error("its sender has exited")]
    Exited,
    /// Another instance answers at the peer's address.
    #[error("another instance has taken its sender's place")]
    Replaced,
    /// The peer did not show in time whether it still runs.
    #[error("it is not known whether its sender still runs")]
    Unconfirmed,
}

/// What is known after a probe; `None` if nothing is.
pub fn judge(answer: Answer) -> Option<Result<(), Doubt>> {
    match answer {
        Answer::Refused => Some(Err(Doubt::Exited)),
        Answer::Lost => None,
        Answer::Answered(Identity::Other, _) => Some(Err(Doubt::Replaced)),
        Answer::Answered(Identity::Same, _) | Answer::Answered(_, Contact::Earlier) => Some(Ok(())),
        // A restart takes longer than such a response.
        Answer::Answered(Identity::SameId, Contact::First) => Some(Ok(())),
        Answer::Answered(Identity::SameId, Contact::Renewed) => None,
        Answer::Answered(Identity::Unknown, Contact::First | Contact::Renewed) => None,
    }
}

/// Compares the instance that sent a response with the one that an answer names.
pub fn identify(sender: &Instance, named: Option<&Instance>) -> Identity {
    match named {
        None => Identity::Unknown,
        Some(named) if named.id != sender.id => Identity::Other,
        // Where start times are not reported, each instance has an id of its own.
        Some(named) if sender.born == 0 || named.born == sender.born => Identity::Same,
        Some(named) if named.born == 0 => Identity::SameId,
        Some(_) => Identity::Other,
    }
}

/// The result of a check, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Whether the response is complete.
    pub result: Result<(), Doubt>,
    /// Number of probes that were sent, or for which no connection could be opened.
    pub probes: u32,
    /// Time since the response ended.
    pub took: Duration,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.result {
            Ok(()) => formatter.write_str("its sender still runs"),
            Err(doubt) => fmt::Display::fmt(&doubt, formatter),
        }
    }
}

/// A request by which a peer shows that it runs.
pub trait Probe: fmt::Debug {
    /// The request to send over `contact`. Answering it must have no effect at the peer.
    fn request(&self, contact: Contact) -> Request;

    /// The instance that sent `answer` with this `body`.
    fn identify(&self, answer: &Response, body: &[u8]) -> Identity;

    /// Records the result of a check.
    fn record(&self, report: &Report);
}

/// A connection that is kept while a response without a length is read, to ask its sender at the end.
#[derive(Debug)]
pub(super) struct Witness {
    client: Client,
    peer: SocketAddr,
    options: Options,
    probe: Rc<dyn Probe>,
    /// When the request was sent.
    sent_at: Time,
    opening: JoinHandle<Option<Checkout>>,
    /// The connection, once it is open or could not be opened.
    opened: Option<Option<Checkout>>,
    /// Whether the response was found open once the connection was.
    overlapped: bool,
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.opening.abort();
    }
}

impl Witness {
    /// Begins to take an idle connection to `peer`, or to open one. Nothing is taken if the witness is
    /// dropped at once, because the response is not read.
    pub fn open(
        client: Client,
        peer: SocketAddr,
        options: Options,
        probe: Rc<dyn Probe>,
        sent_at: Time,
    ) -> Self {
        let (opener, wanted) = (client.clone(), options.clone());
        let opening = actix_rt::spawn(async move {
            let idle = opener.take_idle(peer, &wanted, &Recorder::default());
            match idle {
                Some(idle) => Some(idle),
                None => opener.open_within(peer, wanted.connect_timeout).await.ok(),
            }
        });
        Self {
            client,
            peer,
            options: Options {
                unframed: Unframed::Broken,
                guarded: true,
                ..options
            },
            probe,
            sent_at,
            opening,
            opened: None,
            overlapped: false,
        }
    }

    /// Records that the response's connection is open: all bytes that came were read, and no close.
    /// Wakes the reader of the response once this connection is open as well.
    pub fn record_open(&mut self, cx: &mut Context<'_>) {
        if self.opened.is_none()
            && let Poll::Ready(opened) = Pin::new(&mut self.opening).poll(cx)
        {
            self.opened = Some(opened.ok().flatten());
        }
        self.overlapped |= self.opened.is_some();
    }

    /// Checks, after the response has ended, whether its sender still runs, unless its connection is
    /// known to have failed.
    pub async fn confirm(mut self, failure: Option<io::ErrorKind>) -> Result<(), Error> {
        let ended_at = self.client.paths.now();
        let (result, probes) = match failure {
            Some(kind) => (Err(Doubt::SendFailed(kind)), 0),
            None => self.check(ended_at).await,
        };
        let report = Report {
            result,
            probes,
            took: self.client.paths.now().since(ended_at),
        };
        self.probe.record(&report);
        result.map_err(|doubt| {
            broken(format_args!(
                "the response ended with its connection, and {doubt}"
            ))
        })
    }

    /// The connection for the first probe, if one is open, what it is, and what a new one would be.
    ///
    /// The end is read later than it came, at worst after a suspension. So a connection counts as
    /// earlier only if it was open when the request was sent, or when the response still was.
    async fn first_contact(&mut self) -> (Option<Checkout>, Contact, Contact) {
        let opened = match self.opened.take() {
            Some(opened) => opened,
            None => (&mut self.opening).await.ok().flatten(),
        };
        let is_old = |connection: &Checkout| connection.opened <= self.sent_at;
        let is_earlier = self.overlapped || opened.as_ref().is_some_and(is_old);
        let is_recent = self.client.paths.now().since(self.sent_at) <= RESTART_MIN;
        let later = if opened.is_some() && is_earlier || !is_recent {
            Contact::Renewed
        } else {
            Contact::First
        };
        let opened = opened.filter(|opened| still_open(&opened.connection));
        if is_earlier && opened.is_some() {
            return (opened, Contact::Earlier, later);
        }
        let idle = self
            .client
            .take_idle(self.peer, &self.options, &Recorder::default());
        match idle.filter(is_old) {
            Some(idle) => (Some(idle), Contact::Earlier, later),
            None => (opened, later, later),
        }
    }

    /// Sends probes until one shows whether the peer runs. Also returns how many.
    async fn check(&mut self, ended_at: Time) -> (Result<(), Doubt>, u32) {
        let (connection, contact, later) = self.first_contact().await;
        let this = &*self;
        let mut running = FuturesUnordered::new();
        running.push(this.ask(connection, contact));
        let mut probes = 1;
        let mut doubt = None;
        let (mut interval, mut pause) = (ASK_INTERVAL, Duration::ZERO);
        loop {
            let left = CHECK_TIMEOUT.saturating_sub(this.client.paths.now().since(ended_at));
            if left.is_zero() {
                return (Err(Doubt::Unconfirmed), probes);
            }
            let next = if running.is_empty() { pause } else { interval };
            let answer = {
                let answer = async {
                    match running.next().await {
                        Some(answer) => answer,
                        None => pending().await,
                    }
                };
                match select(Box::pin(answer), Box::pin(sleep(next.min(left)))).await {
                    Either::Left((answer, _)) => Some(answer),
                    Either::Right(_) => None,
                }
            };
            match answer.map(judge) {
                Some(Some(Ok(()))) => return (Ok(()), probes),
                Some(Some(Err(found))) => doubt = Some(found),
                Some(None) => {}
                None => {
                    if running.is_empty() {
                        pause = (pause * 2).max(RETRY_PAUSE);
                    } else {
                        interval *= 2;
                    }
                    running.push(this.ask(None, later));
                    probes += 1;
                }
            }
            // A probe that is still awaited over an earlier connection may be answered by a process that
            // has closed its listener.
            if let Some(doubt) = doubt
                && running.is_empty()
            {
                return (Err(doubt), probes);
            }
        }
    }

    /// Sends one probe over `connection`, or over a new one, which is what `contact` says.
    async fn ask(&self, connection: Option<Checkout>, contact: Contact) -> Answer {
        let within = self.options.connect_timeout;
        let connection = match connection {
            Some(connection) => Ok(connection),
            None => self.client.open_within(self.peer, within).await,
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Answer::Refused;
            }
            Err(_) => return Answer::Lost,
        };
        let Ok(head) = self.probe.request(contact).head(self.peer) else {
            return Answer::Lost;
        };
        let sending = Sending {
            peer: self.peer,
            head: Rc::new(head),
            body: None,
            options: self.options.clone(),
            alarm: None,
        };
        let Ok(mut response) = self.client.run(&sending, connection).await else {
            return Answer::Lost;
        };
        let body = response.read(BODY_MAX).await.unwrap_or_default();
        Answer::Answered(self.probe.identify(&response, &body), contact)
    }
}
