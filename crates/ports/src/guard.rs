//! Deadline, circuit, retries and metrics around the calls of one service.

use std::future::Future;
use std::time::Duration;

use almondpass_peer::error;
use tokio::time::{self, Instant};

use crate::circuit;
use crate::retry;

/// Guards the calls to one service.
#[derive(Debug)]
pub(crate) struct CallGuard {
    service: &'static str,
    deadline: Duration,
    circuit: circuit::CircuitBreaker,
    budget: retry::RetryBudget,
}

/// HTTP status of a service that refuses for now.
const UNAVAILABLE: u16 = 503;

/// HTTP status of a service that refuses because of too many calls.
const TOO_MANY: u16 = 429;

impl CallGuard {
    pub(crate) fn new(
        service: &'static str,
        deadline: Duration,
        circuit: circuit::CircuitConfig,
        retry: retry::RetryConfig,
    ) -> CallGuard {
        let circuit = circuit::CircuitBreaker::new(circuit);
        CallGuard { service, deadline, circuit, budget: retry::RetryBudget::new(retry) }
    }

    /// Counts a call that is about to be attempted, and prepares its retries.
    pub(crate) fn begin(&self) -> retry::RetryWaits {
        self.budget.earn();
        self.budget.waits()
    }

    /// Makes one attempt.
    pub(crate) async fn attempt<R>(
        &self,
        step: &'static str,
        call: impl Future<Output = Result<R, error::CallError>>,
    ) -> Result<R, error::CallError> {
        let pass = match self.circuit.admit() {
            Ok(pass) => pass,
            Err(open) => {
                let reason = format!("an open circuit, closed again in {:?}", open.retry_after);
                return Err(self.error(step, error::CallFault::NotSent(reason)));
            }
        };
        let started = Instant::now();
        let answer = time::timeout(self.deadline, call).await;
        let late = error::CallFault::TimedOut(self.deadline);
        let answer = answer.unwrap_or_else(|_| Err(self.error(step, late)));
        match &answer {
            Err(error) if is_outage(&error.fault) => pass.fail(),
            _ => pass.succeed(),
        }
        self.measure(step, started, outcome_of(&answer));
        answer
    }

    /// Waits before a retry; `false` where none is allowed, or none can end by `expires`.
    pub(crate) async fn may_retry(
        &self,
        waits: &mut retry::RetryWaits,
        error: &error::CallError,
        expires: Instant,
    ) -> bool {
        if !is_outage(&error.fault) || self.circuit.is_open() {
            return false;
        }
        let Some(wait) = self.budget.spend(waits) else { return false };
        if expires <= Instant::now() + wait {
            return false;
        }
        metrics::counter!("almondpass_store_retries_total", "service" => self.service).increment(1);
        time::sleep(wait).await;
        true
    }

    /// Makes a call that changes nothing until it succeeds or no retry is left.
    pub(crate) async fn repeat<R, F: Future<Output = Result<R, error::CallError>>>(
        &self,
        step: &'static str,
        expires: Instant,
        mut call: impl FnMut() -> F,
    ) -> Result<R, error::CallError> {
        let mut waits = self.begin();
        loop {
            let error = match self.attempt(step, call()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if !self.may_retry(&mut waits, &error, expires).await {
                return Err(error);
            }
        }
    }

    /// An error of our own about the service.
    pub(crate) fn error(&self, step: &'static str, fault: error::CallFault) -> error::CallError {
        error::CallError { step, peer: self.service.to_owned(), fault }
    }

    fn measure(&self, step: &'static str, started: Instant, outcome: &'static str) {
        let labels = [("service", self.service), ("step", step)];
        metrics::histogram!("almondpass_store_call_seconds", &labels).record(started.elapsed());
        let labels = [("service", self.service), ("step", step), ("outcome", outcome)];
        metrics::counter!("almondpass_store_calls_total", &labels).increment(1);
        let open = if self.circuit.is_open() { 1.0 } else { 0.0 };
        metrics::gauge!("almondpass_store_circuit_open", "service" => self.service).set(open);
    }
}

/// Whether the fault is the service's, rather than the call's.
fn is_outage(fault: &error::CallFault) -> bool {
    match fault {
        error::CallFault::Refused { status, .. } => matches!(*status, UNAVAILABLE | TOO_MANY),
        error::CallFault::Malformed(_) => false,
        error::CallFault::NotSent(_)
        | error::CallFault::NoAnswer(_)
        | error::CallFault::TimedOut(_) => true,
    }
}

fn outcome_of<R>(answer: &Result<R, error::CallError>) -> &'static str {
    match answer.as_ref().map_err(|it| &it.fault) {
        Ok(_) => "answered",
        Err(error::CallFault::NotSent(_)) => "not_sent",
        Err(error::CallFault::NoAnswer(_)) => "no_answer",
        Err(error::CallFault::TimedOut(_)) => "timed_out",
        Err(error::CallFault::Refused { .. }) => "refused",
        Err(error::CallFault::Malformed(_)) => "malformed",
    }
}
