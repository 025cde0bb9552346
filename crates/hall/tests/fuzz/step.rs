//! Random steps of a fuzz case: work, faults and the passing of time.

use std::time::Duration;

use almondpass_schema::model::RequestOutcome;
use almondpass_standin::fault::Condition;
use proptest::prelude::{Just, Strategy, any as any_value, prop_oneof};

/// One step of a case. An index selects an element of the list that exists when the step runs, modulo the
/// length of that list. Calls go through the instance with index `via`.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A caller requests a slot without an idempotency key.
    RequestSlot { via: usize },
    /// A caller requests a slot with one of a few idempotency keys.
    RequestSlotWithKey { via: usize, key: usize },
    /// An entry returns a grant. Grants that no step returns stand for those of crashed entries.
    ReturnGrant { grant: usize, via: usize, outcome: RequestOutcome },
    /// A caller submits a gang.
    SubmitJob { via: usize, repeatable: bool, tasks: u32 },
    /// A caller submits an earlier job again.
    ResubmitJob { via: usize, job: usize },
    /// A caller cancels a job.
    CancelJob { via: usize, job: usize },
    /// An instance crashes and a new one is started.
    CrashInstance { instance: usize },
    /// An instance shuts down in an orderly way and a new one is started.
    ReplaceInstance { instance: usize },
    /// The link of an instance to a platform service changes its condition.
    SetLinkCondition { instance: usize, service: PlatformService, condition: Condition },
    /// Random faults are injected into the platform calls of an instance at `rate`, the sum over six kinds
    /// of fault.
    InjectLinkFaults { instance: usize, seed: u64, rate: f64 },
    /// A platform service changes its condition for all instances; `Workers` stands for the table here.
    SetServiceCondition { service: PlatformService, condition: Condition },
    /// A worker crashes.
    CrashWorker { worker: usize },
    /// All crashed workers restart.
    RestartWorkers,
    /// The connection to a worker changes its condition.
    SetWorkerCondition { worker: usize, condition: Condition },
    /// All faults are removed and crashed workers restart.
    HealAll,
    /// The paused clock advances.
    AdvanceTime { span: Duration },
}

/// Part of the platform that an instance calls.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PlatformService {
    Table,
    Objects,
    Workers,
}

/// Generates any step. Faults are less frequent than work and the passing of time.
pub(crate) fn any_step() -> impl Strategy<Value = Step> {
    let index = 0..64_usize;
    prop_oneof![
        4 => index.clone().prop_map(|via| Step::RequestSlot { via }),
        8 => (index.clone(), 0..5_usize).prop_map(|(via, key)| Step::RequestSlotWithKey { via, key }),
        8 => (index.clone(), index.clone(), outcome())
            .prop_map(|(grant, via, outcome)| Step::ReturnGrant { grant, via, outcome }),
        5 => (index.clone(), any_value::<bool>(), 1..5_u32)
            .prop_map(|(via, repeatable, tasks)| Step::SubmitJob { via, repeatable, tasks }),
        1 => (index.clone(), index.clone()).prop_map(|(via, job)| Step::ResubmitJob { via, job }),
        2 => (index.clone(), index.clone()).prop_map(|(via, job)| Step::CancelJob { via, job }),
        2 => index.clone().prop_map(|instance| Step::CrashInstance { instance }),
        1 => index.clone().prop_map(|instance| Step::ReplaceInstance { instance }),
        4 => (index.clone(), service(), condition())
            .prop_map(|(instance, service, condition)| {
                Step::SetLinkCondition { instance, service, condition }
            }),
        3 => (index.clone(), any_value::<u64>(), 0.0..0.4_f64)
            .prop_map(|(instance, seed, rate)| Step::InjectLinkFaults { instance, seed, rate }),
        2 => (service(), condition())
            .prop_map(|(service, condition)| Step::SetServiceCondition { service, condition }),
        1 => index.clone().prop_map(|worker| Step::CrashWorker { worker }),
        1 => Just(Step::RestartWorkers),
        1 => (index, condition())
            .prop_map(|(worker, condition)| Step::SetWorkerCondition { worker, condition }),
        2 => Just(Step::HealAll),
        16 => span().prop_map(|span| Step::AdvanceTime { span }),
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

fn service() -> impl Strategy<Value = PlatformService> {
    prop_oneof![
        Just(PlatformService::Table),
        Just(PlatformService::Objects),
        Just(PlatformService::Workers)
    ]
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
