//! Carries requests out at the replica on this machine: sends each on once, keeps what comes, and hands it to
//! whoever reads it.

use std::cell::RefCell;
use std::fmt::Display;
use std::io;
use std::rc::Rc;

use actix_http::body::{BodyStream, MessageBody};
use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use actix_http::{Request, RequestHead, StatusCode};
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use tokio::sync::watch;

use super::Sidecar;
use crate::clock::Time;
use crate::exchange::{self, Options, Reuse, Unframed};
use crate::gateway;
use crate::http::{self, Answer};
use crate::route::notice::{self, Notice};
use crate::run::{
    Acceptance, Buffer, Call, DISPOSITION_HEADER, Disposition, Ended, Key, Lookup, Part,
};
use crate::stop;

/// Longest body of a request: far more than the longest prompt.
const BODY_MAX: usize = 16 << 20;

/// Headers that concern one connection only, and that the codec writes anew.
const HOP: [HeaderName; 3] = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];

/// What came before a run's body.
#[derive(Debug, Clone)]
enum Head {
    /// The replica's answer began.
    Answer(StatusCode, HeaderMap),
    /// There is none.
    None(Disposition),
}

/// A run at the replica.
#[derive(Debug, Default)]
pub(super) struct Run {
    buffer: Rc<RefCell<Buffer>>,
    head: RefCell<Option<Head>>,
    /// Counts what changes.
    changed: watch::Sender<u64>,
    task: RefCell<Option<JoinHandle<()>>>,
}

impl Run {
    fn change(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn begin(&self, head: Head) {
        self.head.replace(Some(head));
        self.change();
    }

    /// Ends it at the replica, and for whoever reads it: a reader whose connection is silent would wait for ever.
    fn abort(&self, now: Time) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.buffer.borrow_mut().end(Ended::Broken, now);
        self.head
            .borrow_mut()
            .get_or_insert(Head::None(Disposition::Broken));
        self.change();
    }
}

/// Who reads a run. Dropped, nobody does.
struct Reader {
    sidecar: Rc<Sidecar>,
    run: Rc<Run>,
    number: u64,
    changed: watch::Receiver<u64>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now = self.sidecar.knowledge.now();
        self.run.buffer.borrow_mut().close(self.number, now);
    }
}

impl Reader {
    /// Begins to read from the byte `from`, unless that cannot be had.
    fn open(sidecar: &Rc<Sidecar>, run: Rc<Run>, from: u64) -> Option<Self> {
        let number = run.buffer.borrow_mut().open(from)?;
        // Whoever read it before is done.
        run.change();
        Some(Self {
            sidecar: sidecar.clone(),
            changed: run.changed.subscribe(),
            run,
            number,
        })
    }

    /// Waits for a change.
    async fn change(&mut self) {
        // The sender lives as long as the run, which is held here.
        let _ = self.changed.changed().await;
    }

    async fn answer(mut self) -> Answer {
        let head = loop {
            let head = self.run.head.borrow().clone();
            match head {
                Some(head) => break head,
                None => self.change().await,
            }
        };
        match head {
            Head::None(told) => own(told),
            Head::Answer(status, headers) => {
                let body = BodyStream::new(Box::pin(self.into_stream()));
                let mut answer = Answer::with_body(status, body.boxed());
                pass(&headers, answer.headers_mut());
                tell(&mut answer, DISPOSITION_HEADER, Disposition::Replica);
                answer
            }
        }
    }

    fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        stream::unfold(Some(self), |reader| async move {
            let mut reader = reader?;
            loop {
                let (part, was_full) = {
                    let mut buffer = reader.run.buffer.borrow_mut();
                    let was_full = !buffer.has_room();
                    (buffer.next(reader.number), was_full)
                };
                match part {
                    Part::Bytes(bytes) => {
                        if was_full {
                            reader.run.change();
                        }
                        return Some((Ok(bytes), Some(reader)));
                    }
                    Part::Pending => reader.change().await,
                    Part::End(Ended::Complete) => return None,
                    // The connection breaks, so that the reader sees that this is not the whole.
                    Part::End(Ended::Broken) | Part::Gone => {
                        return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
                    }
                }
            }
        })
    }
}

fn pass(from: &HeaderMap, into: &mut HeaderMap) {
    let named = http::connection_options(from);
    for (name, value) in from.iter() {
        if !HOP.contains(name) && !named.iter().any(|known| known == name.as_str()) {
            into.append(name.clone(), value.clone());
        }
    }
}

fn tell(answer: &mut Answer, name: &'static str, told: impl Display) {
    let value = HeaderValue::from_str(&told.to_string());
    let value = value.unwrap_or(HeaderValue::from_static(""));
    answer
        .headers_mut()
        .insert(HeaderName::from_static(name), value);
}

/// An answer of the process's own.
fn own(told: Disposition) -> Answer {
    let mut answer = http::status(StatusCode::BAD_GATEWAY);
    tell(&mut answer, DISPOSITION_HEADER, told);
    answer
}

/// The answer to a call for a run that is not sent on, because the replica wants nothing now.
fn turned_away(notice: Notice) -> Answer {
    let mut answer = own(Disposition::NotSent);
    tell(&mut answer, notice::HEADER, notice);
    answer
}

impl Sidecar {
    /// Answers a call for a run.
    pub(super) async fn answer_run(self: Rc<Self>, call: Call, request: Request) -> Answer {
        match call {
            Call::Start { key, target } => self.start_run(key, &target, request).await,
            Call::Read { key, from } => self.read_run(key, from).await,
            Call::End { key } => {
                let now = self.knowledge.now();
                let run = self.runs.borrow_mut().end(key, now);
                if let Some(run) = run {
                    run.abort(now);
                }
                http::status(StatusCode::OK)
            }
        }
    }

    async fn start_run(self: Rc<Self>, key: Key, target: &str, mut request: Request) -> Answer {
        let permit = self.tracker.admit(stop::Kind::New);
        if permit.is_refused() {
            return permit.attach(own(Disposition::NotSent));
        }
        let body = http::read_request(&mut request, BODY_MAX).await;
        let Ok((head, body)) = body.and_then(|body| Ok((head(&request, target)?, body))) else {
            return permit.attach(own(Disposition::NotSent));
        };
        let now = self.knowledge.now();
        let wish = self.wish.get();
        if wish.rejects(now) {
            return permit.attach(turned_away(wish.notice(now)));
        }
        let run = Rc::new(Run::default());
        let buffer = run.buffer.clone();
        let verdict = self.runs.borrow_mut().start(key, buffer, run.clone());
        match verdict {
            Acceptance::Run => {}
            Acceptance::NotRun => return permit.attach(own(Disposition::NotSent)),
            Acceptance::Known => return permit.attach(own(Disposition::Broken)),
        }
        let body = (!body.is_empty()).then_some(body);
        let carried = actix_rt::spawn(carry(self.clone(), run.clone(), key, head, body));
        run.task.replace(Some(carried));
        match Reader::open(&self, run, 0) {
            Some(reader) => permit.attach(reader.answer().await),
            None => permit.attach(own(Disposition::Broken)),
        }
    }

    async fn read_run(self: Rc<Self>, key: Key, from: u64) -> Answer {
        let permit = self.tracker.admit(stop::Kind::Continued);
        let now = self.knowledge.now();
        let found = self.runs.borrow_mut().get(key, now);
        let run = match found {
            Lookup::Kept(run) => run,
            Lookup::Over => return permit.attach(own(Disposition::Broken)),
            Lookup::Unknown => {
                let up = now.since(self.began);
                return permit.attach(own(Disposition::Unknown { up }));
            }
        };
        match Reader::open(&self, run, from) {
            Some(reader) if !permit.is_refused() => permit.attach(reader.answer().await),
            _ => permit.attach(own(Disposition::Broken)),
        }
    }

    /// Ends what goes on for nobody.
    pub(super) fn sweep_runs(&self) {
        let now = self.knowledge.now();
        let abandoned = self.runs.borrow_mut().sweep(now);
        for (key, run) in abandoned {
            log::info!(run:% = key; "a run that nobody reads any more is ended");
            run.abort(now);
        }
        self.client.reap(gateway::IDLE_MAX);
    }
}

/// The head that the replica gets.
fn head(request: &Request, target: &str) -> Result<RequestHead, http::Error> {
    let mut head = RequestHead::default();
    head.method = request.method().clone();
    head.uri = target.parse().map_err(|_| http::Error::Decode {
        reason: "the path is none".to_owned(),
    })?;
    pass(&request.head().headers, &mut head.headers);
    Ok(head)
}

async fn carry(
    sidecar: Rc<Sidecar>,
    run: Rc<Run>,
    key: Key,
    head: RequestHead,
    body: Option<Bytes>,
) {
    let options = Options {
        reuse: Reuse::Allowed,
        idle_max: gateway::IDLE_MAX,
        connect_timeout: gateway::CONNECT_TIMEOUT,
        unframed: Unframed::EndsWithConnection,
        ..Options::default()
    };
    let replica = sidecar.engine.address();
    let ended = match sidecar.client.exchange(replica, head, body, options).await {
        Ok(mut response) => {
            let headers = std::mem::take(&mut response.headers);
            sidecar.wants(sidecar.engine.notice(response.status, &headers));
            run.begin(Head::Answer(response.status, headers));
            keep(&run, &mut response).await
        }
        Err(error) => {
            let told = match error {
                exchange::Error::NotSent { .. } => Disposition::NotSent,
                _ => Disposition::Broken,
            };
            run.begin(Head::None(told));
            Err(error)
        }
    };
    if let Err(error) = &ended {
        log::warn!(run:% = key, replica:% = replica; "a run broke: {error}");
    }
    let now = sidecar.knowledge.now();
    let ended = ended.map_or(Ended::Broken, |()| Ended::Complete);
    run.buffer.borrow_mut().end(ended, now);
    run.change();
}

/// Keeps what comes of a run's body.
async fn keep(run: &Run, response: &mut exchange::Response) -> Result<(), exchange::Error> {
    let mut changed = run.changed.subscribe();
    while let Some(part) = response.next().await {
        run.buffer.borrow_mut().push(&part?);
        run.change();
        while !run.buffer.borrow().has_room() {
            // The run, which is borrowed here, has the sender.
            let _ = changed.changed().await;
        }
    }
    Ok(())
}
