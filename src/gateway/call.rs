//! One caller's request from its head to the head of its answer.

use std::rc::Rc;

use actix_http::Request;

use super::course::{Course, ending, refuse, stopping};
use super::relay::Relay;
use super::trace::Trace;
use super::{Gateway, intake};
use crate::config::routing::Kind;
use crate::http::Answer;
use crate::stop;

/// Takes one caller's request.
pub async fn handle(gateway: Rc<Gateway>, mut request: Request) -> Answer {
    let permit = gateway.tracker.admit(stop::Kind::New);
    let arrived = gateway.knowledge.now();
    let mut trace = Trace::begin(&gateway, arrived);
    let prepared = if permit.is_refused() {
        intake::name(&gateway, &request, &mut trace);
        Err(stopping())
    } else {
        let work = intake::prepare(&gateway, &mut request, &mut trace);
        let prepared = gateway.tracker.until_abort(work).await;
        prepared.unwrap_or_else(|| Err(stopping()))
    };
    let answer = match prepared {
        Ok(job) => {
            gateway.count_request(&job.service);
            run(Course::new(gateway.clone(), Rc::new(job), trace)).await
        }
        Err(refusal) => refuse(&gateway, &mut trace, &refusal),
    };
    permit.attach(answer)
}

/// Takes a request through its attempts until one is answered or none may follow.
async fn run(mut course: Course) -> Answer {
    let tracker = course.gateway.tracker.clone();
    if let Err(refusal) = course.unless_barred() {
        return course.give_up(&refusal);
    }
    loop {
        let choice = match tracker.until_abort(course.admit()).await {
            Some(Ok(choice)) => choice,
            Some(Err(refusal)) => return course.give_up(&refusal),
            None => return course.give_up(&course.untold()),
        };
        if let Err(refusal) = course.unless_poison().await {
            return course.give_up(&refusal);
        }
        let attempt = course.attempt(choice, course.job.ask.last_event);
        let failure = match tracker.until_abort(attempt).await {
            Some(Ok(begun)) if course.job.route.kind == Kind::Streaming => {
                return Relay::new(course, begun).answer();
            }
            Some(Ok(begun)) => match tracker.until_abort(begun.gather(&course.job)).await {
                Some(Ok(answer)) => {
                    course.gateway.came_good(course.job.name);
                    course.trace.ended("whole");
                    return answer;
                }
                Some(Err(failure)) => failure,
                None => return course.give_up(&ending()),
            },
            Some(Err(failure)) => failure,
            None => return course.give_up(&ending()),
        };
        if let Err(refusal) = course.follow_up(failure) {
            return course.give_up(&refusal);
        }
    }
}
