//! Answers other processes: the balancer, entries, processes beside replicas, readers of metrics.

use std::fmt::Display;
use std::rc::Rc;

use actix_http::{Request, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Gateway;
use crate::burst::serve;
use crate::http::{self, Answer};
use crate::knowledge::fanout::{self, FRAME_FORWARD_PATH, Message, SYNC_FORWARD_PATH};
use crate::knowledge::{gossip, poison};
use crate::wire::pack;
use crate::wire::sync::{FRAME_PATH, Frame, HALL_PATH, Heartbeat, REPORT_PATH, Report, SYNC_PATH};

/// Longest message of another process.
const MESSAGE_MAX: usize = 1 << 20;

/// What the answer about readiness tells if documents of the platform were read with losses.
#[derive(Serialize)]
struct Damage<'a> {
    /// Parts that could not be read since the process began.
    unread_parts: u64,
    /// The latest of them.
    latest: Option<&'a str>,
}

/// The balancer asks whether this process is ready.
pub async fn ready(gateway: Rc<Gateway>, _: Request) -> Answer {
    let status = if gateway.ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let losses = gateway.knowledge.losses.borrow();
    if losses.count == 0 {
        return http::status(status);
    }
    let damage = Damage {
        unread_parts: losses.count,
        latest: losses.latest.as_deref(),
    };
    http::json(status, &damage)
}

/// Someone reads the metrics.
pub async fn metrics(gateway: Rc<Gateway>, _: Request) -> Answer {
    gateway.metrics.answer()
}

/// Another process of the system asks or tells.
pub async fn answer(gateway: Rc<Gateway>, mut request: Request) -> Answer {
    match request.path() {
        SYNC_PATH => match decode::<Heartbeat>(&mut request).await {
            Ok(sync) => take_sync(&gateway, &sync, false),
            Err(answer) => answer,
        },
        HALL_PATH => match decode::<Heartbeat>(&mut request).await {
            Ok(sync) => http::pack(StatusCode::OK, &gateway.hall_news(&sync)),
            Err(answer) => answer,
        },
        FRAME_PATH => match body(&mut request).await {
            Ok(frame) => take_frame(&gateway, &frame),
            Err(answer) => answer,
        },
        FRAME_FORWARD_PATH => match decode::<fanout::ForwardedFrame>(&mut request).await {
            Ok(forwarded) => {
                let frame = Bytes::from(forwarded.frame);
                let answer = take_frame(&gateway, &frame);
                let message = Message::Frame(frame);
                fanout::send(&gateway.knowledge, &message, forwarded.receivers);
                answer
            }
            Err(answer) => answer,
        },
        SYNC_FORWARD_PATH => match decode::<fanout::ForwardedSync>(&mut request).await {
            Ok(notice) => {
                let knowledge = &gateway.knowledge;
                let answer = http::pack(StatusCode::OK, &knowledge.update_for(&notice.sync, false));
                actix_rt::spawn(fanout::forward_notice(knowledge.clone(), notice));
                answer
            }
            Err(answer) => answer,
        },
        REPORT_PATH => match decode::<Report>(&mut request).await {
            Ok(report) => take_report(&gateway, &report),
            Err(answer) => answer,
        },
        poison::PATH => match decode::<poison::Notice>(&mut request).await {
            Ok(notice) => http::pack(
                StatusCode::OK,
                &poison::apply_notice(&gateway.knowledge, &notice),
            ),
            Err(answer) => answer,
        },
        poison::TRIAL_PATH => match decode::<poison::Claim>(&mut request).await {
            Ok(ask) => http::pack(
                StatusCode::OK,
                &poison::answer_trial(&gateway.knowledge, &ask),
            ),
            Err(answer) => answer,
        },
        path => {
            let path = path.to_owned();
            serve::answer_path(&gateway.bursts, &gateway.tracker, &path).await
        }
    }
}

/// Applies a packed frame and answers the heartbeat in it.
fn take_frame(gateway: &Gateway, packed: &[u8]) -> Answer {
    match pack::unpack::<Frame>(packed) {
        Ok(frame) => {
            let sync = gateway.take_frame(frame);
            take_sync(gateway, &sync, true)
        }
        Err(error) => not_understood(error),
    }
}

/// Answers a heartbeat; `from_hub` says whether it came in a frame to the whole hall.
fn take_sync(gateway: &Gateway, sync: &Heartbeat, from_hub: bool) -> Answer {
    let knowledge = &gateway.knowledge;
    if sync.entry && sync.hall == knowledge.identity.hall && knowledge.is_behind(sync.revisions) {
        let fetch = gossip::fetch_update(knowledge.clone(), sync.from, sync.revisions, from_hub);
        actix_rt::spawn(fetch);
    }
    http::pack(StatusCode::OK, &knowledge.update_for(sync, !sync.entry))
}

fn take_report(gateway: &Gateway, report: &Report) -> Answer {
    gateway.refresh_pool();
    let now = gateway.knowledge.now();
    gateway
        .pool
        .borrow_mut()
        .report(report.address, &report.load, now);
    http::pack(
        StatusCode::OK,
        &gateway.knowledge.update_for(&report.heartbeat, true),
    )
}

/// Reads a message, or says what is wrong with it.
pub async fn decode<T: DeserializeOwned>(request: &mut Request) -> Result<T, Answer> {
    let body = body(request).await?;
    rmp_serde::from_slice(&body).map_err(not_understood)
}

async fn body(request: &mut Request) -> Result<Bytes, Answer> {
    let body = http::read_request(request, MESSAGE_MAX).await;
    body.map_err(|_| http::status(StatusCode::BAD_REQUEST))
}

fn not_understood(error: impl Display) -> Answer {
    log::warn!("message of another process not understood: {error}");
    http::status(StatusCode::BAD_REQUEST)
}
