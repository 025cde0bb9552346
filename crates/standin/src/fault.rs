//! Faults injected into the calls of one interface: scripted by a test, or drawn at random from a seed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::error;
use almondpass_schema::ids;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::state;

/// State of an interface that affects every call until a test changes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Calls reach the service.
    #[default]
    Up,
    /// Connections are refused; calls have no effect.
    Refusing,
    /// Calls are dropped: they have no effect, and the caller gets no answer.
    Dropping,
    /// Calls wait until the condition changes and then continue, as at a paused process.
    Paused,
    /// Calls take this long. The effect comes after half of the time, whether or not the caller still waits.
    Slow(Duration),
    /// Alternates between up and refusing, beginning with up.
    Flapping {
        /// Length of each period in which calls reach the service.
        up: Duration,
        /// Length of each period in which connections are refused.
        down: Duration,
    },
}

/// A fault injected into one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is refused; the call has no effect.
    Refused,
    /// The service answers with status 503; the call has no effect.
    Unavailable,
    /// The service rejects the call permanently, as too large (status 413); the call has no effect.
    Rejected,
    /// The request is lost: the call has no effect, and the caller gets no answer.
    RequestLost,
    /// The call takes effect, but the answer is lost.
    AnswerLost,
    /// The connection breaks at once, but the call takes effect after this delay.
    DelayedEffect(Duration),
    /// The call takes this long; the effect comes after half of the time.
    Slow(Duration),
    /// The caller's task panics before the call has any effect.
    CallerPanics,
}

/// Probability of each fault per call, from 0 to 1. A call has at most one fault, so the sum must
/// not exceed 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultRates {
    /// Probability of [`Fault::Refused`].
    pub refused: f64,
    /// Probability of [`Fault::Unavailable`].
    pub unavailable: f64,
    /// Probability of [`Fault::RequestLost`].
    pub request_lost: f64,
    /// Probability of [`Fault::AnswerLost`].
    pub answer_lost: f64,
    /// Probability of [`Fault::DelayedEffect`].
    pub delayed_effect: f64,
    /// Probability of [`Fault::Slow`].
    pub slow: f64,
    /// Upper bound of the delay of [`Fault::DelayedEffect`] and [`Fault::Slow`].
    pub max_delay: Duration,
}

/// Decides which fault each call of an interface gets. Clones share the plan.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    state: Arc<Mutex<PlanState>>,
    condition: Arc<watch::Sender<TimedCondition>>,
}

/// Time after which a lost call ends with an error, like the operating system's connection timeout.
pub const LOST_CALL_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct PlanState {
    scripted: BTreeMap<(&'static str, u64), Fault>,
    calls: BTreeMap<&'static str, u64>,
    sampling: Option<FaultSampling>,
}

#[derive(Debug)]
struct FaultSampling {
    rng: ChaCha8Rng,
    rates: FaultRates,
    /// The step whose calls get faults; `None` for all steps.
    step: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TimedCondition {
    condition: Condition,
    since: Option<Instant>,
}

impl FaultPlan {
    /// A plan without faults.
    pub fn new() -> FaultPlan {
        FaultPlan::default()
    }

    /// Changes the condition of the interface.
    pub fn set(&self, condition: Condition) {
        let since = Some(Instant::now());
        self.condition.send_replace(TimedCondition { condition, since });
    }

    /// Injects `fault` into the next call of `step`, the path of a call.
    pub fn inject_next(&self, step: &'static str, fault: Fault) {
        self.inject_nth(step, 1, fault);
    }

    /// Injects `fault` into the `nth` call of `step` from now on, counted from 1.
    pub fn inject_nth(&self, step: &'static str, nth: u64, fault: Fault) {
        let mut state = state::lock(&self.state);
        let calls = state.calls.get(step).copied().unwrap_or_default();
        state.scripted.insert((step, calls + nth), fault);
    }

    /// Injects faults at random into the calls of all steps; rates of zero stop it.
    pub fn inject_at_random(&self, seed: u64, rates: FaultRates) {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        state::lock(&self.state).sampling = Some(FaultSampling { rng, rates, step: None });
    }

    /// Injects faults at random into the calls of `step` only; rates of zero stop it.
    pub fn inject_step_at_random(&self, step: &'static str, seed: u64, rates: FaultRates) {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let sampling = FaultSampling { rng, rates, step: Some(step) };
        state::lock(&self.state).sampling = Some(sampling);
    }

    /// Number of calls of `step` so far, calls with faults included.
    pub fn calls(&self, step: &'static str) -> u64 {
        state::lock(&self.state).calls.get(step).copied().unwrap_or_default()
    }

    /// Counts a call, waits while the interface is paused, and returns the fault of the call. A scripted or
    /// random fault takes precedence over the fault of the condition.
    pub(crate) async fn next_fault(&self, step: &'static str) -> Option<Fault> {
        let scripted = state::lock(&self.state).count_call(step);
        let from_condition = self.condition_fault().await;
        scripted.or(from_condition)
    }

    /// Waits while the interface is paused and returns the fault that the condition causes. Doesn't count
    /// a call and ignores scripted and random faults.
    pub(crate) async fn condition_fault(&self) -> Option<Fault> {
        let mut watch = self.condition.subscribe();
        let is_paused = |it: &TimedCondition| it.condition == Condition::Paused;
        let current = watch.wait_for(|it| !is_paused(it)).await.map(|it| *it);
        current.ok()?.fault()
    }
}

impl PlanState {
    fn count_call(&mut self, step: &'static str) -> Option<Fault> {
        let calls = self.calls.entry(step).or_default();
        *calls += 1;
        let nth = *calls;
        let scripted = self.scripted.remove(&(step, nth));
        let sampling = self.sampling.as_mut();
        let sampling = sampling.filter(|it| it.step.is_none_or(|wanted| wanted == step));
        scripted.or_else(|| sampling?.draw())
    }
}

impl FaultSampling {
    fn draw(&mut self) -> Option<Fault> {
        let max_delay = self.rates.max_delay;
        let delay = max_delay.mul_f64(self.rng.random::<f64>());
        let mut remaining = self.rng.random::<f64>();
        let faults = [
            (self.rates.refused, Fault::Refused),
            (self.rates.unavailable, Fault::Unavailable),
            (self.rates.request_lost, Fault::RequestLost),
            (self.rates.answer_lost, Fault::AnswerLost),
            (self.rates.delayed_effect, Fault::DelayedEffect(delay)),
            (self.rates.slow, Fault::Slow(delay)),
        ];
        for (rate, fault) in faults {
            if remaining < rate {
                return Some(fault);
            }
            remaining -= rate;
        }
        None
    }
}

impl TimedCondition {
    fn fault(&self) -> Option<Fault> {
        match self.condition {
            Condition::Up | Condition::Paused => None,
            Condition::Refusing => Some(Fault::Refused),
            Condition::Dropping => Some(Fault::RequestLost),
            Condition::Slow(delay) => Some(Fault::Slow(delay)),
            Condition::Flapping { up, down } => {
                let period = (up + down).as_micros().max(1);
                let elapsed = self.since.map(|it| it.elapsed()).unwrap_or_default();
                let refused = up.as_micros() <= elapsed.as_micros() % period;
                refused.then_some(Fault::Refused)
            }
        }
    }
}

/// Performs a call with `effect` under all `plans`; the first plan that returns a fault decides. Whether the
/// effect takes place never depends on whether the caller keeps waiting.
pub(crate) async fn call_through<T, E>(
    plans: &[&FaultPlan],
    peer: &str,
    step: &'static str,
    effect: E,
) -> Result<T, error::CallError>
where
    T: Send + 'static,
    E: FnOnce() -> T + Send + 'static,
{
    let mut first_fault = None;
    for plan in plans {
        let fault = plan.next_fault(step).await;
        first_fault = first_fault.or(fault);
    }
    let Some(fault) = first_fault else { return Ok(effect()) };
    apply_fault(fault, effect).await.map_err(|fault| call_error(peer, step, fault))
}

/// Error of a call of `step` to `peer`.
pub(crate) fn call_error(
    peer: &str,
    step: &'static str,
    fault: error::CallFault,
) -> error::CallError {
    error::CallError { step, peer: ids::PeerAddress::from(peer), fault }
}

async fn apply_fault<T, E>(fault: Fault, effect: E) -> Result<T, error::CallFault>
where
    T: Send + 'static,
    E: FnOnce() -> T + Send + 'static,
{
    match fault {
        Fault::Refused => Err(error::CallFault::NotSent("a refused one".to_owned())),
        Fault::Unavailable => {
            let detail = "the service is unavailable".to_owned();
            Err(error::CallFault::Refused { status: 503, detail })
        }
        Fault::Rejected => {
            let detail = "the call is too large".to_owned();
            Err(error::CallFault::Refused { status: 413, detail })
        }
        Fault::RequestLost => {
            time::sleep(LOST_CALL_TIMEOUT).await;
            Err(no_answer())
        }
        Fault::CallerPanics => panic_caller(),
        Fault::AnswerLost => {
            effect();
            Err(no_answer())
        }
        Fault::DelayedEffect(delay) => {
            tokio::spawn(async move {
                time::sleep(delay).await;
                effect()
            });
            Err(no_answer())
        }
        Fault::Slow(delay) => {
            let answer = tokio::spawn(async move {
                time::sleep(delay / 2).await;
                effect()
            });
            let answer = answer.await.map_err(|_| no_answer())?;
            time::sleep(delay / 2).await;
            Ok(answer)
        }
    }
}

/// Panics in the caller's task, as a bug in the caller's code would.
pub(crate) fn panic_caller() -> ! {
    panic!("panic injected into the caller by a test")
}

fn no_answer() -> error::CallFault {
    error::CallFault::NoAnswer("a broken connection".to_owned())
}
