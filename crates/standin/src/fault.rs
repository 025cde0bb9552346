//! Faults of one interface, scripted by a test or drawn from a seed.

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

/// What stands between a caller and an interface until it is changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Calls go through.
    #[default]
    Up,
    /// Connections are refused; nothing takes effect.
    Refusing,
    /// Calls vanish without effect or answer.
    Dropping,
    /// Calls wait, and go on where they stood when the condition changes: a paused process.
    Paused,
    /// Calls take this long, and have their effect half-way, whether or not the caller still waits.
    Slow(Duration),
    /// Up and refusing in turn, beginning with up.
    Flapping {
        /// Time for which calls go through.
        up: Duration,
        /// Time for which they are refused.
        down: Duration,
    },
}

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is refused; no effect.
    Refused,
    /// The service answers with an error before any effect.
    Unavailable,
    /// The service rejects the call for good, as too large, before any effect.
    Rejected,
    /// The call vanishes without effect or answer.
    RequestLost,
    /// The call has its effect; the answer is lost.
    AnswerLost,
    /// The connection breaks at once; the call has its effect this much later all the same.
    DelayedEffect(Duration),
    /// The call takes this long, with its effect half-way.
    Slow(Duration),
    /// The caller's own program fails: it panics before any effect.
    CallerPanics,
}

/// How often each fault strikes a call, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FaultRates {
    /// Refused connections.
    pub refused: f64,
    /// Errors before any effect.
    pub unavailable: f64,
    /// Lost requests.
    pub request_lost: f64,
    /// Lost answers.
    pub answer_lost: f64,
    /// Delayed effects.
    pub delayed_effect: f64,
    /// Slow calls.
    pub slow: f64,
    /// Longest delay of the last two.
    pub max_delay: Duration,
}

/// Decides what goes wrong with the calls that pass it; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FaultPlan {
    state: Arc<Mutex<PlanState>>,
    condition: Arc<watch::Sender<StandingCondition>>,
}

/// A vanished call ends with an error after this, as the operating system's timeout would.
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
    /// The step that is struck; nothing for all.
    step: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, Default)]
struct StandingCondition {
    condition: Condition,
    since: Option<Instant>,
}

impl FaultPlan {
    /// A plan in which nothing goes wrong.
    pub fn new() -> FaultPlan {
        FaultPlan::default()
    }

    /// Changes the standing condition.
    pub fn set(&self, condition: Condition) {
        let since = Some(Instant::now());
        self.condition.send_replace(StandingCondition { condition, since });
    }

    /// Strikes the next call of `step`, which is a call's path.
    pub fn inject_next(&self, step: &'static str, fault: Fault) {
        self.inject_nth(step, 1, fault);
    }

    /// Strikes the `nth` call of `step` from now on, counted from 1.
    pub fn inject_nth(&self, step: &'static str, nth: u64, fault: Fault) {
        let mut state = state::lock(&self.state);
        let calls = state.calls.get(step).copied().unwrap_or_default();
        state.scripted.insert((step, calls + nth), fault);
    }

    /// Strikes calls at random from `seed`; rates of zero end it.
    pub fn inject_at_random(&self, seed: u64, rates: FaultRates) {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        state::lock(&self.state).sampling = Some(FaultSampling { rng, rates, step: None });
    }

    /// The same, for calls of `step` alone.
    pub fn inject_step_at_random(&self, step: &'static str, seed: u64, rates: FaultRates) {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let sampling = FaultSampling { rng, rates, step: Some(step) };
        state::lock(&self.state).sampling = Some(sampling);
    }

    /// Calls of `step` that arrived so far.
    pub fn calls(&self, step: &'static str) -> u64 {
        state::lock(&self.state).calls.get(step).copied().unwrap_or_default()
    }

    /// Waits while the plan holds calls back, and tells what strikes this one.
    pub(crate) async fn next_fault(&self, step: &'static str) -> Option<Fault> {
        let scripted = state::lock(&self.state).arrive(step);
        let standing = self.condition_fault().await;
        scripted.or(standing)
    }

    /// Like [`FaultPlan::next_fault`], but for the standing condition alone.
    pub(crate) async fn condition_fault(&self) -> Option<Fault> {
        let mut watch = self.condition.subscribe();
        let held = |it: &StandingCondition| it.condition == Condition::Paused;
        let standing = watch.wait_for(|it| !held(it)).await.map(|it| *it);
        standing.ok()?.fault()
    }
}

impl PlanState {
    fn arrive(&mut self, step: &'static str) -> Option<Fault> {
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
        let longest = self.rates.max_delay;
        let delay = longest.mul_f64(self.rng.random::<f64>());
        let mut left = self.rng.random::<f64>();
        let faults = [
            (self.rates.refused, Fault::Refused),
            (self.rates.unavailable, Fault::Unavailable),
            (self.rates.request_lost, Fault::RequestLost),
            (self.rates.answer_lost, Fault::AnswerLost),
            (self.rates.delayed_effect, Fault::DelayedEffect(delay)),
            (self.rates.slow, Fault::Slow(delay)),
        ];
        for (rate, fault) in faults {
            if left < rate {
                return Some(fault);
            }
            left -= rate;
        }
        None
    }
}

impl StandingCondition {
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

/// Passes a call with `effect` through `plans`; the first that strikes it counts. The effect never
/// depends on whether the caller goes on waiting.
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
    let mut struck = None;
    for plan in plans {
        let fault = plan.next_fault(step).await;
        struck = struck.or(fault);
    }
    let Some(fault) = struck else { return Ok(effect()) };
    strike(fault, effect).await.map_err(|fault| call_error(peer, step, fault))
}

/// A failed call of `step` at `peer`.
pub(crate) fn call_error(
    peer: &str,
    step: &'static str,
    fault: error::CallFault,
) -> error::CallError {
    error::CallError { step, peer: ids::PeerAddress::from(peer), fault }
}

async fn strike<T, E>(fault: Fault, effect: E) -> Result<T, error::CallFault>
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

/// Ends the task of the caller, as a fault of its program would.
pub(crate) fn panic_caller() -> ! {
    panic!("a caller that panics, as its test has asked for")
}

fn no_answer() -> error::CallFault {
    error::CallFault::NoAnswer("a broken connection".to_owned())
}
