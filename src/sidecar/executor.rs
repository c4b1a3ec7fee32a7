//! Executes callers' requests at the replica on this machine: sends each request once, buffers the
//! response, and delivers it to the current reader.

use std::cell::RefCell;
use std::fmt::Display;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody};
use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use actix_http::{Request, RequestHead, StatusCode};
use actix_rt::task::JoinHandle;
use actix_rt::time::timeout;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use opentelemetry::KeyValue;
use tokio::sync::watch;

use super::Sidecar;
use super::probe::Probe;
use crate::clock::Time;
use crate::exchange::{self, Options, Reuse, Unframed};
use crate::gateway;
use crate::http::{self, Answer};
use crate::lease;
use crate::limit::memory::{Budget, READ_MAX, RESPONSE_MIN, Reservation, Sort};
use crate::route::notice::{self, Notice};
use crate::run::{
    Acceptance, Buffer, Call, DISPOSITION_HEADER, Disposition, Ended, Key, Lookup, Part,
};
use crate::stop;

/// Maximum size of a request's body in bytes, far above that of the longest prompt.
const BODY_MAX: usize = 16 << 20;

/// Interval at which a paused run is checked for memory that others have returned.
const MEMORY_RECHECK: Duration = Duration::from_millis(100);

/// Hop-by-hop headers, which the codec generates for each connection.
const HOP_BY_HOP: [HeaderName; 3] = [CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING];

/// The head of a run's response.
#[derive(Debug, Clone)]
enum Head {
    /// Received from the replica.
    Answer(StatusCode, HeaderMap),

    /// The replica sent none.
    Missing(Disposition),
}

/// A run: the execution of a request at the replica.
#[derive(Debug, Default)]
pub(super) struct Run {
    buffer: Rc<RefCell<Buffer>>,
    head: RefCell<Option<Head>>,
    /// Number of changes of the run, by which its reader and its task are woken.
    changed: watch::Sender<u64>,
    task: RefCell<Option<JoinHandle<()>>>,
    /// The memory that the buffer takes once the response has ended.
    held: RefCell<Option<Reservation>>,
}

/// A request to the replica.
struct Sending {
    head: RequestHead,
    body: Option<Bytes>,
    body_held: Reservation,
}

impl Run {
    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn set_head(&self, head: Head) {
        self.head.replace(Some(head));
        self.notify();
    }

    /// Aborts the run at the replica and for its reader, which would wait forever if its connection is
    /// silent.
    fn abort(&self, now: Time) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
        self.buffer.borrow_mut().end(Ended::Broken, now);
        self.head
            .borrow_mut()
            .get_or_insert(Head::Missing(Disposition::Broken));
        self.notify();
    }
}

/// The reader of a run. Dropping it leaves the run without a reader.
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
    /// Becomes the reader of `run`, starting at the byte `from`. Returns `None` if there is nothing to
    /// read from there.
    fn open(sidecar: &Rc<Sidecar>, run: Rc<Run>, from: u64) -> Option<Self> {
        let number = run.buffer.borrow_mut().open(from)?;
        // Wakes the previous reader, which ends.
        run.notify();
        Some(Self {
            sidecar: sidecar.clone(),
            changed: run.changed.subscribe(),
            run,
            number,
        })
    }

    /// Waits for a change of the run.
    async fn wait(&mut self) {
        // The sender is not dropped, because `run` owns it.
        let _ = self.changed.changed().await;
    }

    async fn respond(mut self) -> Answer {
        let head = loop {
            let head = self.run.head.borrow().clone();
            match head {
                Some(head) => break head,
                None => self.wait().await,
            }
        };
        match head {
            Head::Missing(disposition) => error_response(disposition),
            Head::Answer(status, headers) => {
                let body = BodyStream::new(Box::pin(self.into_stream()));
                let mut answer = Answer::with_body(status, body.boxed());
                copy_headers(&headers, answer.headers_mut());
                set_header(&mut answer, DISPOSITION_HEADER, Disposition::Replica);
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
                            reader.run.notify();
                        }
                        return Some((Ok(bytes), Some(reader)));
                    }
                    Part::Pending => reader.wait().await,
                    Part::End(Ended::Complete) => return None,
                    // The connection is aborted, so that the client detects the truncated response.
                    Part::End(Ended::Broken) | Part::Gone => {
                        return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
                    }
                }
            }
        })
    }
}

/// Copies the end-to-end headers.
fn copy_headers(from: &HeaderMap, into: &mut HeaderMap) {
    let named = http::connection_options(from);
    for (name, value) in from.iter() {
        if !HOP_BY_HOP.contains(name) && !named.iter().any(|known| known == name.as_str()) {
            into.append(name.clone(), value.clone());
        }
    }
}

fn set_header(answer: &mut Answer, name: &'static str, content: impl Display) {
    let value = HeaderValue::from_str(&content.to_string());
    let value = value.unwrap_or(HeaderValue::from_static(""));
    answer
        .headers_mut()
        .insert(HeaderName::from_static(name), value);
}

/// Response of this process in place of the replica's.
fn error_response(disposition: Disposition) -> Answer {
    let mut answer = http::status(StatusCode::BAD_GATEWAY);
    set_header(&mut answer, DISPOSITION_HEADER, disposition);
    answer
}

/// Response to a request that is not forwarded because the replica accepts none at present.
fn rejection(notice: Notice) -> Answer {
    let mut answer = error_response(Disposition::NotSent);
    set_header(&mut answer, notice::HEADER, notice);
    answer
}

impl Sidecar {
    /// Handles a call that starts, reads or ends a run.
    pub(super) async fn handle_run(self: Rc<Self>, call: Call, request: Request) -> Answer {
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
            return permit.attach(error_response(Disposition::NotSent));
        }
        let reserved = reserve(&self.held, &request);
        let Some((mut body_held, held)) = reserved else {
            return permit.attach(error_response(Disposition::NotSent));
        };
        let body = http::read_request_held(&mut request, BODY_MAX, &mut body_held).await;
        let Ok((head, body)) = body.and_then(|body| Ok((replica_head(&request, target)?, body)))
        else {
            return permit.attach(error_response(Disposition::NotSent));
        };
        let now = self.knowledge.now();
        let suspension = self.suspension.get();
        if suspension.rejects(now) {
            return permit.attach(rejection(suspension.notice(now)));
        }
        if let Some(per_s) = self.quota_per_s() {
            let gate = &mut self.ledger.borrow_mut().gate;
            if let Err(wait) = gate.admit(lease::DEFAULT_URGENCY, per_s, now) {
                return permit.attach(rejection(Notice {
                    backoff: Some(wait),
                    ..Notice::default()
                }));
            }
        }
        let run = Rc::new(Run::default());
        let buffer = run.buffer.clone();
        let verdict = self.runs.borrow_mut().start(key, buffer, run.clone());
        match verdict {
            Acceptance::Run => {}
            Acceptance::NotRun => return permit.attach(error_response(Disposition::NotSent)),
            Acceptance::Known => return permit.attach(error_response(Disposition::Broken)),
        }
        let sending = Sending {
            head,
            body: (!body.is_empty()).then_some(body),
            body_held,
        };
        let task = actix_rt::spawn(execute(self.clone(), run.clone(), key, sending, held));
        run.task.replace(Some(task));
        match Reader::open(&self, run, 0) {
            Some(reader) => permit.attach(reader.respond().await),
            None => permit.attach(error_response(Disposition::Broken)),
        }
    }

    async fn read_run(self: Rc<Self>, key: Key, from: u64) -> Answer {
        let permit = self.tracker.admit(stop::Kind::Continued);
        let now = self.knowledge.now();
        let found = self.runs.borrow_mut().get(key, now);
        let run = match found {
            Lookup::Kept(run) => run,
            Lookup::Over => return permit.attach(error_response(Disposition::Broken)),
            Lookup::Unknown => {
                let up = now.since(self.started_at);
                return permit.attach(error_response(Disposition::Unknown { up }));
            }
        };
        match Reader::open(&self, run, from) {
            Some(reader) if !permit.is_refused() => permit.attach(reader.respond().await),
            _ => permit.attach(error_response(Disposition::Broken)),
        }
    }

    /// Aborts runs without a reader, and closes idle connections to the replica.
    pub(super) fn remove_expired_runs(&self) {
        for sort in Sort::ALL {
            let labels = [KeyValue::new("what", sort.name())];
            self.held_bytes.record(self.held.held(sort), &labels);
        }
        let now = self.knowledge.now();
        let abandoned = self.runs.borrow_mut().sweep(now);
        for (key, run) in abandoned {
            log::info!(run:% = key; "aborting a run without a reader");
            run.abort(now);
        }
        self.client.reap(gateway::IDLE_MAX);
    }
}

/// Builds the head of the request to the replica.
fn replica_head(request: &Request, target: &str) -> Result<RequestHead, http::Error> {
    let mut head = RequestHead::default();
    head.method = request.method().clone();
    head.uri = target.parse().map_err(|_| http::Error::Decode {
        reason: "the target is not a valid path".to_owned(),
    })?;
    copy_headers(&request.head().headers, &mut head.headers);
    Ok(head)
}

/// Sends a request to the replica and buffers the response.
async fn execute(
    sidecar: Rc<Sidecar>,
    run: Rc<Run>,
    key: Key,
    sending: Sending,
    mut held: Reservation,
) {
    let Sending {
        head,
        body,
        body_held,
    } = sending;
    let options = Options {
        reuse: Reuse::Allowed,
        idle_max: gateway::IDLE_MAX,
        connect_timeout: gateway::CONNECT_TIMEOUT,
        unframed: Unframed::Confirmed(Rc::new(Probe::new(&sidecar, key))),
        // A replica that is silent may only have paused, and there is no other one here.
        guarded: false,
        ..Options::default()
    };
    let replica = sidecar.engine.address();
    let sent_at = sidecar.knowledge.now();
    let answered = sidecar.client.exchange(replica, head, body, options).await;
    drop(body_held);
    let ended = match answered {
        Ok(mut response) => {
            let headers = std::mem::take(&mut response.headers);
            sidecar.apply_notice(sidecar.engine.notice(response.status, &headers));
            if response.status != StatusCode::MISDIRECTED_REQUEST {
                sidecar.record_quota(sidecar.engine.quota(&headers), sent_at);
            }
            run.set_head(Head::Answer(response.status, headers));
            buffer_body(&run, &mut response, &mut held).await
        }
        Err(error) => {
            let disposition = match error {
                exchange::Error::NotSent { .. } => Disposition::NotSent,
                _ => Disposition::Broken,
            };
            run.set_head(Head::Missing(disposition));
            Err(error)
        }
    };
    if let Err(error) = &ended {
        log::warn!(run:% = key, replica:% = replica; "run failed: {error}");
    }
    let now = sidecar.knowledge.now();
    let ended = ended.map_or(Ended::Broken, |()| Ended::Complete);
    run.buffer.borrow_mut().end(ended, now);
    held.set(run.buffer.borrow().kept());
    // What is kept is counted until the run is forgotten.
    run.held.replace(Some(held));
    run.notify();
}

/// Appends the response body to the run's buffer as it arrives, and pauses while the buffer is full
/// or memory is short.
async fn buffer_body(
    run: &Run,
    response: &mut exchange::Response,
    held: &mut Reservation,
) -> Result<(), exchange::Error> {
    let mut changed = run.changed.subscribe();
    while let Some(part) = response.next().await {
        run.buffer.borrow_mut().push(&part?);
        run.notify();
        while !has_room(&run.buffer, held) {
            // The sender is not dropped, because `run` owns it.
            let _ = timeout(MEMORY_RECHECK, changed.changed()).await;
        }
    }
    Ok(())
}

/// Whether more may be read from the replica. If memory is short, only unread bytes are kept: what
/// was reserved at first suffices for a reader that keeps up.
fn has_room(buffer: &RefCell<Buffer>, held: &mut Reservation) -> bool {
    let mut buffer = buffer.borrow_mut();
    if !buffer.has_room() {
        return false;
    }
    if held.set(buffer.kept() + READ_MAX) {
        return true;
    }
    buffer.forget_read();
    held.set(buffer.kept() + READ_MAX)
}

/// Reserves memory for a request's body, as far as its length is known, and for its response.
fn reserve(budget: &Budget, request: &Request) -> Option<(Reservation, Reservation)> {
    let length = request.head().headers.get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = budget.reserve(Sort::Body, length.unwrap_or(0))?;
    let response = budget.reserve(Sort::Stream, RESPONSE_MIN)?;
    Some((body, response))
}
