//! Handles one caller's request, from its head to the head of its response.

use std::rc::Rc;

use actix_http::Request;

use super::dispatch::{Dispatch, aborted, refuse, shutting_down};
use super::intake::Prepared;
use super::race::{Race, Started};
use super::relay::Relay;
use super::trace::Trace;
use super::{Gateway, intake};
use crate::http::Answer;
use crate::limit::memory::Reservation;
use crate::stop;

/// Handles one caller's request.
pub async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Answer {
    let permit = gateway.tracker.admit(stop::Kind::New);
    let arrived = gateway.knowledge.now();
    let mut trace = Trace::begin(&gateway, arrived);
    let prepared = if permit.is_refused() {
        intake::record_id(&gateway, &request, &mut trace);
        Err(shutting_down())
    } else {
        let work = intake::prepare(&gateway, &mut request, &mut trace);
        let prepared = gateway.tracker.until_abort(work).await;
        prepared.unwrap_or_else(|| Err(shutting_down()))
    };
    let answer = match prepared {
        Ok(Prepared { job, response }) => {
            gateway.count_request(&job.service);
            let dispatch = Dispatch::new(gateway.clone(), Rc::new(job), trace);
            run(dispatch, response).await
        }
        Err(refusal) => refuse(&gateway, &mut trace, &refusal),
    };
    permit.attach(answer)
}

/// Makes attempts until one is answered or no further one is allowed. `held` is the memory for the
/// response.
async fn run(mut dispatch: Dispatch, mut held: Reservation) -> Answer {
    let tracker = dispatch.gateway.tracker.clone();
    if let Err(refusal) = dispatch.check_blocked() {
        return dispatch.give_up(&refusal);
    }
    loop {
        let choice = match tracker.until_abort(dispatch.admit()).await {
            Some(Ok(choice)) => choice,
            Some(Err(refusal)) => return dispatch.give_up(&refusal),
            None => return dispatch.give_up(&dispatch.unanswered_refusal()),
        };
        if let Err(refusal) = dispatch.claim_trial().await {
            return dispatch.give_up(&refusal);
        }
        let failure = match dispatch.begin(choice, dispatch.job.meta.last_event) {
            Err(failure) => failure,
            Ok(sending) => {
                let race = Race::new(sending, held).run(&mut dispatch);
                let Some(ended) = tracker.until_abort(race).await else {
                    return dispatch.give_up(&aborted());
                };
                held = ended.held;
                match ended.result {
                    Ok(Started::Stream(incoming)) => {
                        return Relay::new(dispatch, incoming, held).answer();
                    }
                    Ok(Started::Plain(plain)) => return plain.answer(dispatch, held),
                    Err(failure) => failure,
                }
            }
        };
        if let Err(refusal) = dispatch.handle_failure(failure)
            && !dispatch.may_wait_for_weights(&refusal)
        {
            return dispatch.give_up(&refusal);
        }
    }
}
