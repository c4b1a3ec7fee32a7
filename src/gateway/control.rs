//! Answers other processes: the load balancer, entries, sidecars and metrics scrapers.

use std::fmt::Display;
use std::rc::Rc;

use actix_http::{Request, StatusCode};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Gateway;
use super::startup::Missing;
use crate::burst::serve;
use crate::grant;
use crate::http::{self, Answer};
use crate::knowledge::fanout::{self, FRAME_FORWARD_PATH, Message, SYNC_FORWARD_PATH};
use crate::knowledge::{gossip, poison};
use crate::wire::pack;
use crate::wire::sync::{FRAME_PATH, Frame, HALL_PATH, Heartbeat, REPORT_PATH, Report, SYNC_PATH};

/// Largest message from another process, in bytes.
const MESSAGE_MAX: usize = 1 << 20;

/// Body of the readiness response if the process is not ready, or if parts of the platform's documents could
/// not be read.
#[derive(Serialize)]
struct ReadinessReport<'a> {
    /// What the process lacks to be ready.
    missing: Vec<&'static str>,
    /// Parts that could not be read since the process started.
    unread_parts: u64,
    /// The most recent one.
    latest: Option<&'a str>,
}

/// Answers the load balancer's readiness check.
pub async fn ready(gateway: Rc<Gateway>, _: Request) -> Answer {
    let status = if gateway.ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let losses = gateway.knowledge.losses.borrow();
    let missing = gateway.missing();
    if losses.count == 0 && missing.is_empty() {
        return http::status(status);
    }
    let report = ReadinessReport {
        missing: missing.into_iter().map(Missing::name).collect(),
        unread_parts: losses.count,
        latest: losses.latest.as_deref(),
    };
    http::json(status, &report)
}

/// Answers a scrape of the metrics.
pub async fn metrics(gateway: Rc<Gateway>, _: Request) -> Answer {
    gateway.metrics.answer()
}

/// Answers a message from another process of the system.
pub async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Answer {
    match request.path() {
        SYNC_PATH => match decode::<Heartbeat>(&mut request).await {
            Ok(heartbeat) => answer_heartbeat(&gateway, &heartbeat, false),
            Err(answer) => answer,
        },
        HALL_PATH => match decode::<Heartbeat>(&mut request).await {
            Ok(heartbeat) => http::pack(StatusCode::OK, &gateway.hall_update(&heartbeat)),
            Err(answer) => answer,
        },
        FRAME_PATH => match body(&mut request).await {
            Ok(frame) => answer_frame(&gateway, &frame),
            Err(answer) => answer,
        },
        FRAME_FORWARD_PATH => match decode::<fanout::ForwardedFrame>(&mut request).await {
            Ok(forwarded) => {
                let frame = Bytes::from(forwarded.frame);
                let answer = answer_frame(&gateway, &frame);
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
        grant::PATH => match decode::<grant::Request>(&mut request).await {
            Ok(request) => http::pack(StatusCode::OK, &gateway.answer_grant(&request)),
            Err(answer) => answer,
        },
        REPORT_PATH => match decode::<Report>(&mut request).await {
            Ok(report) => answer_report(&gateway, &report),
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
            Ok(claim) => http::pack(
                StatusCode::OK,
                &poison::answer_trial(&gateway.knowledge, &claim),
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
fn answer_frame(gateway: &Gateway, packed: &[u8]) -> Answer {
    match pack::unpack::<Frame>(packed) {
        Ok(frame) => {
            let heartbeat = gateway.apply_frame(frame);
            answer_heartbeat(gateway, &heartbeat, true)
        }
        Err(error) => undecodable(error),
    }
}

/// Answers a heartbeat. `from_hub` says whether it arrived in a frame for the whole hall.
fn answer_heartbeat(gateway: &Gateway, heartbeat: &Heartbeat, from_hub: bool) -> Answer {
    let knowledge = &gateway.knowledge;
    if heartbeat.entry
        && heartbeat.hall == knowledge.identity.hall
        && knowledge.is_behind(heartbeat.revisions)
    {
        let fetch = gossip::fetch_update(
            knowledge.clone(),
            heartbeat.from,
            heartbeat.revisions,
            from_hub,
        );
        actix_rt::spawn(fetch);
    }
    http::pack(
        StatusCode::OK,
        &knowledge.update_for(heartbeat, !heartbeat.entry),
    )
}

fn answer_report(gateway: &Gateway, report: &Report) -> Answer {
    gateway.refresh_pool();
    let now = gateway.knowledge.now();
    gateway.apply_load(report.address, &report.load, now);
    http::pack(
        StatusCode::OK,
        &gateway.knowledge.update_for(&report.heartbeat, true),
    )
}

/// Reads and decodes a message; the error is the response that rejects it.
pub async fn decode<T: DeserializeOwned>(request: &mut Request) -> Result<T, Answer> {
    let body = body(request).await?;
    rmp_serde::from_slice(&body).map_err(undecodable)
}

async fn body(request: &mut Request) -> Result<Bytes, Answer> {
    let body = http::read_request(request, MESSAGE_MAX).await;
    body.map_err(|_| http::status(StatusCode::BAD_REQUEST))
}

fn undecodable(error: impl Display) -> Answer {
    log::warn!("cannot decode a message from another process: {error}");
    http::status(StatusCode::BAD_REQUEST)
}
