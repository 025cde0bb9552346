//! Deadline, circuit breaker, retries and metrics for the calls to one service.

use std::future::Future;
use std::time::Duration;

use almondpass_peer::error;
use tokio::time::{self, Instant};

use crate::circuit;
use crate::retry;

/// Applies the deadline, circuit breaker and retry budget of one service to the calls to it.
#[derive(Debug)]
pub(crate) struct CallGuard {
    service: &'static str,
    deadline: Duration,
    circuit: circuit::CircuitBreaker,
    budget: retry::RetryBudget,
}

/// HTTP status of a service that rejects calls temporarily.
const SERVICE_UNAVAILABLE: u16 = 503;

/// HTTP status of a service that rejects calls because of their rate.
const TOO_MANY_REQUESTS: u16 = 429;

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

    /// Credits a new call to the retry budget and returns the waits between its attempts.
    pub(crate) fn begin(&self) -> retry::RetryWaits {
        self.budget.earn();
        self.budget.waits()
    }

    /// Makes one attempt of a call, which fails at once if the circuit is open, or after the deadline.
    pub(crate) async fn attempt<R>(
        &self,
        step: &'static str,
        call: impl Future<Output = Result<R, error::CallError>>,
    ) -> Result<R, error::CallError> {
        let permit = match self.circuit.admit() {
            Ok(permit) => permit,
            Err(open) => {
                let reason = format!("an open circuit, closed again in {:?}", open.retry_after);
                return Err(self.error(step, error::CallFault::NotSent(reason)));
            }
        };
        let started = Instant::now();
        let answer = time::timeout(self.deadline, call).await;
        let timed_out = error::CallFault::TimedOut(self.deadline);
        let answer = answer.unwrap_or_else(|_| Err(self.error(step, timed_out)));
        match &answer {
            Err(error) if is_outage(&error.fault) => permit.fail(),
            _ => permit.succeed(),
        }
        self.record_metrics(step, started, outcome_of(&answer));
        answer
    }

    /// Waits before a retry. Returns `false` without waiting if the fault or the circuit rules out a retry,
    /// the budget is empty, or the wait would not end before `expires`.
    pub(crate) async fn wait_for_retry(
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

    /// Makes a read-only call, with retries until it succeeds or no retry is left.
    pub(crate) async fn call_with_retries<R, F: Future<Output = Result<R, error::CallError>>>(
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
            if !self.wait_for_retry(&mut waits, &error, expires).await {
                return Err(error);
            }
        }
    }

    /// Creates an error of a call to the service that the client itself detected.
    pub(crate) fn error(&self, step: &'static str, fault: error::CallFault) -> error::CallError {
        error::CallError { step, peer: self.service.to_owned(), fault }
    }

    fn record_metrics(&self, step: &'static str, started: Instant, outcome: &'static str) {
        let labels = [("service", self.service), ("step", step)];
        metrics::histogram!("almondpass_store_call_seconds", &labels).record(started.elapsed());
        let labels = [("service", self.service), ("step", step), ("outcome", outcome)];
        metrics::counter!("almondpass_store_calls_total", &labels).increment(1);
        let open = if self.circuit.is_open() { 1.0 } else { 0.0 };
        metrics::gauge!("almondpass_store_circuit_open", "service" => self.service).set(open);
    }
}

/// Whether the fault shows that the service is unavailable, rather than that the call was invalid.
fn is_outage(fault: &error::CallFault) -> bool {
    match fault {
        error::CallFault::Refused { status, .. } => {
            matches!(*status, SERVICE_UNAVAILABLE | TOO_MANY_REQUESTS)
        }
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
