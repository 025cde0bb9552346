//! What can happen.

use std::time::Duration;

use almondpass_schema::model::RequestOutcome;
use almondpass_standin::fault::Condition;
use proptest::prelude::{Just, Strategy, any as anything, prop_oneof};

/// One step of a case. Numbers choose among what there is, modulo how many there are.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A caller asks for a slot.
    Ask { via: usize },
    /// A caller asks under one of a few keys.
    AskKeyed { via: usize, key: usize },
    /// An entry returns a grant; the grants that it never returns are those of dead entries.
    Return { grant: usize, via: usize, outcome: RequestOutcome },
    /// A caller submits a gang.
    Submit { via: usize, repeatable: bool, tasks: u32 },
    /// A caller submits a job a second time.
    Resubmit { via: usize, job: usize },
    /// A caller cancels a job.
    Cancel { via: usize, job: usize },
    /// An instance dies; another takes its place.
    Crash { instance: usize },
    /// An instance shuts down; another takes its place.
    Replace { instance: usize },
    /// An instance's ways to the platform change.
    CutOff { instance: usize, way: Way, condition: Condition },
    /// Calls of an instance go wrong at random.
    Faults { instance: usize, seed: u64, rate: f64 },
    /// A platform service changes its condition.
    Service { way: Way, condition: Condition },
    /// A worker dies.
    KillWorker { worker: usize },
    /// All dead workers come back.
    ReviveWorkers,
    /// A worker is cut off.
    CutOffWorker { worker: usize, condition: Condition },
    /// Everything works again.
    Heal,
    /// Time passes.
    Pass { span: Duration },
}

/// A way to the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Way {
    Table,
    Objects,
    Workers,
}

/// Any step, faults rarer than work and time.
pub(crate) fn any() -> impl Strategy<Value = Step> {
    let n = 0..64_usize;
    prop_oneof![
        4 => n.clone().prop_map(|via| Step::Ask { via }),
        8 => (n.clone(), 0..5_usize).prop_map(|(via, key)| Step::AskKeyed { via, key }),
        8 => (n.clone(), n.clone(), outcome())
            .prop_map(|(grant, via, outcome)| Step::Return { grant, via, outcome }),
        5 => (n.clone(), anything::<bool>(), 1..5_u32)
            .prop_map(|(via, repeatable, tasks)| Step::Submit { via, repeatable, tasks }),
        1 => (n.clone(), n.clone()).prop_map(|(via, job)| Step::Resubmit { via, job }),
        2 => (n.clone(), n.clone()).prop_map(|(via, job)| Step::Cancel { via, job }),
        2 => n.clone().prop_map(|instance| Step::Crash { instance }),
        1 => n.clone().prop_map(|instance| Step::Replace { instance }),
        4 => (n.clone(), way(), condition())
            .prop_map(|(instance, way, condition)| Step::CutOff { instance, way, condition }),
        3 => (n.clone(), anything::<u64>(), 0.0..0.4_f64)
            .prop_map(|(instance, seed, rate)| Step::Faults { instance, seed, rate }),
        2 => (way(), condition()).prop_map(|(way, condition)| Step::Service { way, condition }),
        1 => n.clone().prop_map(|worker| Step::KillWorker { worker }),
        1 => Just(Step::ReviveWorkers),
        1 => (n, condition())
            .prop_map(|(worker, condition)| Step::CutOffWorker { worker, condition }),
        2 => Just(Step::Heal),
        16 => span().prop_map(|span| Step::Pass { span }),
    ]
}

fn outcome() -> impl Strategy<Value = RequestOutcome> {
    prop_oneof![
        Just(RequestOutcome::Done),
        Just(RequestOutcome::Failed),
        Just(RequestOutcome::NotRun),
        Just(RequestOutcome::Unknown),
    ]
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![Just(Way::Table), Just(Way::Objects), Just(Way::Workers)]
}

fn condition() -> impl Strategy<Value = Condition> {
    prop_oneof![
        3 => Just(Condition::Up),
        1 => Just(Condition::Refusing),
        1 => Just(Condition::Dropping),
        1 => Just(Condition::Paused),
        1 => (50..1500_u64).prop_map(|it| Condition::Slow(Duration::from_millis(it))),
        1 => Just(Condition::Flapping {
            up: Duration::from_millis(700),
            down: Duration::from_millis(1300),
        }),
    ]
}

fn span() -> impl Strategy<Value = Duration> {
    prop_oneof![
        3 => (1..100_u64).prop_map(Duration::from_millis),
        3 => (100..3_000_u64).prop_map(Duration::from_millis),
        2 => (3_000..20_000_u64).prop_map(Duration::from_millis),
        1 => (20_000..90_000_u64).prop_map(Duration::from_millis),
    ]
}
