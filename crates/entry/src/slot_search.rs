//! Finds a slot for a request.

use std::time::Duration;

use almondpass_peer::error;
use almondpass_peer::link::HallLink;
use almondpass_schema::{ids, model};
use rand::RngExt;
use tokio::time::{Instant, sleep};

use crate::attempt_log;
use crate::checked_request;
use crate::grant_ledger;
use crate::hall_choice;
use crate::problem;
use crate::refusal;
use crate::service;

/// Halls that may refuse one request before it is given up.
const HALLS_ASKED: usize = 3;
/// First pause after a lost answer; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Asks hall schedulers for a slot until there is one, all have refused, or the deadline passes.
///
/// A scheduler keeps a request in its queue until the deadline. The entry asks again after each
/// [`crate::settings::EntrySettings::ask_timeout`], under the same request: the scheduler knows it
/// again, and gives a grant again whose answer was lost. Repeatable work moves on to another hall
/// where that one has become the better choice meanwhile.
pub async fn obtain<L: HallLink, T>(
    core: &service::EntryCore<L, T>,
    checked: &checked_request::CheckedRequest,
    attempts: &attempt_log::AttemptLog,
) -> Result<grant_ledger::GrantTicket, problem::Problem> {
    let asked_at = Instant::now();
    let mut refusals = HallRefusals::default();
    let mut pause = FIRST_PAUSE;
    while let Some(hall) = next_hall(core, checked, attempts, &refusals)? {
        let left = checked.deadline.left();
        if left.is_zero() {
            let outcome = asked_outcome(checked, attempts);
            let problem = refusal::too_late(outcome, "hall.grant");
            return Err(problem.retry_after(core.settings.retry_after));
        }
        let retry_after = core.settings.retry_after;
        let asked = HallAsked { checked, attempts, hall, retry_after };
        let call = grant_request(core, checked, attempts, asked.hall.clone());
        let reply = core.link.ask(call, left.min(core.settings.ask_timeout)).await;
        match asked.read(reply) {
            Answer::Granted(grant) => {
                checked.class.meter().granted(asked_at.elapsed());
                return Ok(core.ledger.open(*grant));
            }
            Answer::Final(problem) => return Err(problem),
            Answer::Next(problem) => refusals.note(asked.hall, problem),
            Answer::Lost(error) => {
                tracing::debug!(request = %checked.request, %error, "asking for a slot again");
                let share = rand::rng().random_range(0.5..1.0);
                sleep(pause.mul_f64(share).min(checked.deadline.left())).await;
                pause = LONGEST_PAUSE.min(pause * 2);
            }
        }
    }
    let upstream = &checked.class.class().upstream;
    let none = || refusal::no_hall(asked_outcome(checked, attempts), upstream);
    Err(refusals.soonest.unwrap_or_else(none))
}

/// Halls that refused.
#[derive(Debug, Default)]
struct HallRefusals {
    halls: Vec<ids::HallName>,
    soonest: Option<problem::Problem>,
}

impl HallRefusals {
    fn note(&mut self, hall: ids::HallName, problem: problem::Problem) {
        self.halls.push(hall);
        self.soonest = sooner(self.soonest.take(), problem);
    }
}

/// The hall to ask now, `None` where there is no other left.
fn next_hall<L: HallLink, T>(
    core: &service::EntryCore<L, T>,
    checked: &checked_request::CheckedRequest,
    attempts: &attempt_log::AttemptLog,
    refusals: &HallRefusals,
) -> Result<Option<ids::HallName>, problem::Problem> {
    let document = checked.class.caller().document();
    let upstream = &checked.class.class().upstream;
    if let Some(key) = checked.key {
        let home = hall_choice::home(document, upstream, &key);
        return Ok(home.filter(|_| refusals.halls.is_empty()));
    }
    if HALLS_ASKED <= refusals.halls.len() {
        return Ok(None);
    }
    let summaries = core.link.summaries();
    let options = hall_choice::ranked(document, upstream, &summaries, &core.settings.data_center);
    let mut options = options.into_iter().filter(|it| !refusals.halls.contains(&it.hall));
    let Some(best) = options.next() else {
        return Ok(None);
    };
    let wait = best.wait.unwrap_or_default();
    if refusals.halls.is_empty() && checked.deadline.left() < wait {
        checked.class.meter().shed();
        let outcome = asked_outcome(checked, attempts);
        return Err(refusal::too_late(outcome, "request.shed").retry_after(wait));
    }
    Ok(Some(best.hall))
}

/// Of two refusals, the one that lets the caller come back sooner.
fn sooner(known: Option<problem::Problem>, new: problem::Problem) -> Option<problem::Problem> {
    let span = |it: &problem::Problem| it.details().retry_after.map_or(Duration::MAX, |it| it.0);
    // An `unknown` must not be hidden by a later hall's `not_run`.
    match known {
        Some(known) if known.outcome() == model::RequestOutcome::Unknown => Some(known),
        Some(known)
            if new.outcome() != model::RequestOutcome::Unknown && span(&known) <= span(&new) =>
        {
            Some(known)
        }
        _ => Some(new),
    }
}

fn grant_request<L, T>(
    core: &service::EntryCore<L, T>,
    checked: &checked_request::CheckedRequest,
    attempts: &attempt_log::AttemptLog,
    hall: ids::HallName,
) -> model::GrantRequest {
    model::GrantRequest {
        request: checked.request,
        hall,
        account: checked.class.caller().account().id.clone(),
        class: checked.class.class().name.clone(),
        deadline: checked.deadline.wall,
        attempt: attempts.n_failed,
        exclude: attempts.exclude.clone(),
        idempotency: checked.key,
        entry: core.settings.instance.clone(),
    }
}

/// What a scheduler's answer means for a request.
enum Answer {
    /// Here is a slot.
    Granted(Box<model::SlotGrant>),
    /// No hall will have it.
    Final(problem::Problem),
    /// This hall has no room; another may.
    Next(problem::Problem),
    /// The scheduler may have heard the request, but its answer did not come.
    Lost(error::CallError),
}

/// One call to one hall.
struct HallAsked<'a> {
    checked: &'a checked_request::CheckedRequest,
    attempts: &'a attempt_log::AttemptLog,
    hall: ids::HallName,
    retry_after: Duration,
}

impl HallAsked<'_> {
    fn read(&self, reply: Result<model::GrantReply, error::CallError>) -> Answer {
        match reply {
            Ok(model::GrantReply::Granted { grant }) => Answer::Granted(Box::new(grant)),
            Ok(model::GrantReply::Busy { reason, retry_after, unrecorded }) => {
                let kind = refusal::kind_of(reason.code);
                let problem = self.problem(kind, self.outcome(unrecorded), &reason.text);
                Answer::Next(problem.because(reason).retry_after(retry_after.0))
            }
            Ok(model::GrantReply::Refused { reason, unrecorded }) => {
                self.refused(reason, unrecorded)
            }
            Ok(model::GrantReply::Recorded { outcome, request }) => {
                let detail = format!("expected a new key, found one that request {request} used");
                Answer::Final(self.problem(problem::ProblemKind::Recorded, outcome, &detail))
            }
            Ok(model::GrantReply::NotHolder { .. }) => {
                Answer::Next(self.unavailable("expected a scheduler for the hall, found none"))
            }
            Err(error) if error.fault.had_no_effect() => {
                Answer::Next(self.unavailable(&error.to_string()))
            }
            Err(error) => Answer::Lost(error),
        }
    }

    /// What a refusal by a scheduler says. `busy` or `refused` mean that this request was not sent;
    /// a key may have been used before all the same.
    fn outcome(&self, unrecorded: bool) -> model::RequestOutcome {
        if unrecorded {
            // Proof of `not_run`: the home hall looked the key up and has no record of it, so no
            // earlier request was sent under it; and this one was not sent either.
            self.attempts.outcome()
        } else {
            asked_outcome(self.checked, self.attempts)
        }
    }

    fn refused(&self, reason: model::WaitReason, unrecorded: bool) -> Answer {
        let kind = refusal::kind_of(reason.code);
        let problem = self.problem(kind, self.outcome(unrecorded), &reason.text).because(reason);
        match kind {
            problem::ProblemKind::NeverFits
            | problem::ProblemKind::Busy
            | problem::ProblemKind::Unavailable => Answer::Next(problem),
            _ => Answer::Final(problem),
        }
    }

    /// The hall's scheduler was not reached. Whether it knows the key was not learnt.
    fn unavailable(&self, detail: &str) -> problem::Problem {
        let outcome = asked_outcome(self.checked, self.attempts);
        let kind = problem::ProblemKind::Unavailable;
        self.problem(kind, outcome, detail).retry_after(self.retry_after)
    }

    fn problem(
        &self,
        kind: problem::ProblemKind,
        outcome: model::RequestOutcome,
        detail: &str,
    ) -> problem::Problem {
        problem::Problem::new(kind, outcome, "hall.grant", detail).at(self.hall.clone())
    }
}

/// What is true where no scheduler's word on the key is known.
fn asked_outcome(
    checked: &checked_request::CheckedRequest,
    attempts: &attempt_log::AttemptLog,
) -> model::RequestOutcome {
    match attempts.sent {
        true => model::RequestOutcome::Unknown,
        false => checked_request::untold(checked.key),
    }
}
