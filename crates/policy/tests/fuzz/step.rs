//! What a case is made of, and how steps are drawn.

use almondpass_schema::model;
use proptest::prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof};
use proptest::{option, sample};
use proptest_state_machine::ReferenceStateMachine;

use crate::config_variants;

/// Work that arrives.
#[derive(Clone, Debug)]
pub(crate) struct ArriveStep {
    pub(crate) account: u8,
    pub(crate) class: u8,
    pub(crate) tasks: u8,
    pub(crate) accelerators: u8,
    pub(crate) adjacency: model::Adjacency,
    /// Declared run time in seconds, true or not.
    pub(crate) declared: Option<u16>,
    /// True run time in seconds.
    pub(crate) run: u16,
    /// Deadline in seconds from now.
    pub(crate) deadline: Option<u16>,
    /// It fails wherever it runs.
    pub(crate) faulty: bool,
}

/// What goes wrong with the next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartFailure {
    Refused,
    Unreachable,
    Failed,
}

/// One step of a case. Numbers pick among whatever there is, modulo its count.
#[derive(Clone, Debug)]
pub(crate) enum FuzzStep {
    Arrive(ArriveStep),
    /// An account asks for the whole of a guaranteed shape, in this many tasks or fewer.
    Claim {
        account: u8,
        class: u8,
        tasks: u8,
        run: u16,
    },
    /// Several small requests at once.
    Burst {
        account: u8,
        class: u8,
        count: u8,
        run: u16,
    },
    Pass {
        millis: u32,
    },
    Cancel {
        pick: u16,
    },
    CancelWave {
        account: u8,
    },
    TroubleStart(StartFailure),
    FailRun {
        pick: u16,
    },
    Kill {
        worker: u8,
    },
    Return {
        worker: u8,
    },
    Drain {
        worker: u8,
    },
    Undrain {
        worker: u8,
    },
    Poison {
        worker: u8,
    },
    Heal {
        worker: u8,
    },
    Configure {
        variant: u8,
    },
    /// Another scheduler takes the hall over.
    TakeOver,
    /// An event that was told before is told again.
    Repeat {
        pick: u16,
    },
}

/// Draws the steps; the oracle keeps the state, since only the policy's decisions decide it.
#[derive(Clone, Debug)]
pub(crate) struct StepMachine;

impl ReferenceStateMachine for StepMachine {
    type State = ();
    type Transition = FuzzStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<FuzzStep> {
        let worker = || 0_u8..8;
        let account = || 0_u8..config_variants::ACCOUNTS.len() as u8;
        prop_oneof![
            30 => arrive().prop_map(FuzzStep::Arrive),
            12 => claim(),
            6 => (account(), 0_u8..3, 2_u8..30, 1_u16..10).prop_map(
                |(account, class, count, run)| FuzzStep::Burst { account, class, count, run }
            ),
            30 => pass(),
            4 => any::<u16>().prop_map(|pick| FuzzStep::Cancel { pick }),
            1 => account().prop_map(|account| FuzzStep::CancelWave { account }),
            2 => trouble().prop_map(FuzzStep::TroubleStart),
            2 => any::<u16>().prop_map(|pick| FuzzStep::FailRun { pick }),
            2 => worker().prop_map(|worker| FuzzStep::Kill { worker }),
            3 => worker().prop_map(|worker| FuzzStep::Return { worker }),
            1 => worker().prop_map(|worker| FuzzStep::Drain { worker }),
            2 => worker().prop_map(|worker| FuzzStep::Undrain { worker }),
            1 => worker().prop_map(|worker| FuzzStep::Poison { worker }),
            2 => worker().prop_map(|worker| FuzzStep::Heal { worker }),
            2 => (0..config_variants::N_VARIANTS).prop_map(|variant| FuzzStep::Configure { variant }),
            1 => Just(FuzzStep::TakeOver),
            2 => any::<u16>().prop_map(|pick| FuzzStep::Repeat { pick }),
        ]
        .boxed()
    }

    fn apply(_state: (), _transition: &FuzzStep) {}
}

fn arrive() -> impl Strategy<Value = ArriveStep> {
    let adjacency = sample::select(vec![
        model::Adjacency::Any,
        model::Adjacency::Worker,
        model::Adjacency::Rack,
        model::Adjacency::Hall,
    ]);
    (
        0..config_variants::ACCOUNTS.len() as u8,
        0..config_variants::CLASSES.len() as u8,
        1_u8..7,
        0_u8..5,
        adjacency,
        option::of(1_u16..300),
        1_u16..200,
        option::weighted(0.1, 1_u16..300),
        proptest::bool::weighted(0.03),
    )
        .prop_map(
            |(account, class, tasks, accelerators, adjacency, declared, run, deadline, faulty)| {
                ArriveStep {
                    account,
                    class,
                    tasks,
                    accelerators,
                    adjacency,
                    declared,
                    run,
                    deadline,
                    faulty,
                }
            },
        )
}

fn claim() -> impl Strategy<Value = FuzzStep> {
    let class = sample::select(vec![3_u8, 4, 4, 4, 5, 6]);
    (1_u8..3, class, 1_u8..5, 1_u16..100).prop_map(|(account, class, tasks, run)| FuzzStep::Claim {
        account,
        class,
        tasks,
        run,
    })
}

fn pass() -> impl Strategy<Value = FuzzStep> {
    prop_oneof![1_u32..500, 500_u32..10_000, 10_000_u32..120_000]
        .prop_map(|millis| FuzzStep::Pass { millis })
}

fn trouble() -> impl Strategy<Value = StartFailure> {
    sample::select(vec![StartFailure::Refused, StartFailure::Unreachable, StartFailure::Failed])
}
