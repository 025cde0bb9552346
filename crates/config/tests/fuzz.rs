//! Stateful fuzzing of the configuration over operations and faults, against a simple oracle of
//! what operators were told. `ALMONDPASS_FUZZ_CASES=2000 cargo test -p almondpass-config --release
//! --test fuzz -- --nocapture` runs more cases; `ALMONDPASS_FUZZ_SEED` sets the first seed.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_config::proposal;
use almondpass_schema::{ids, model};
use almondpass_standin::fault;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time;

const DEFAULT_CASES: u64 = 40;
const N_KEEPERS: usize = 4;
const N_STEPS: usize = 60;
/// What the brief calls seconds.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// What an operator was told of a draft.
#[derive(Clone, Debug, PartialEq)]
enum Told {
    Accepted(ids::ConfigVersion),
    NotWritten,
    Unsettled,
}

/// What operators were told, by the mark that each draft carries.
type Ledger = Arc<Mutex<BTreeMap<u32, Told>>>;

#[test]
fn operators_are_told_the_truth_and_versions_never_go_back() {
    let n_cases = setting("ALMONDPASS_FUZZ_CASES").unwrap_or(DEFAULT_CASES);
    let first = setting("ALMONDPASS_FUZZ_SEED").unwrap_or(1);
    for seed in first..first + n_cases {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let told = runtime.block_on(run_case(seed));
        println!("seed {seed}: {told}");
    }
}

fn setting(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|it| it.parse().expect("a number"))
}

/// Runs one case and sums up what operators were told.
async fn run_case(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut group = support::KeeperGroup::new(N_KEEPERS);
    let ledger = Ledger::default();
    let mut recorded = group.keepers.iter().map(support::record_versions).collect::<Vec<_>>();
    let mut proposals = Vec::new();
    for mark in 1..=N_STEPS {
        match rng.random_range(0..10) {
            0..4 => {
                let index = rng.random_range(0..group.keepers.len());
                let keeper = group.keepers[index].clone();
                let mark = u32::try_from(mark).unwrap();
                proposals.push(tokio::spawn(propose(keeper, mark, Arc::clone(&ledger))));
            }
            4 => group.table.faults().set(condition(&mut rng)),
            5 => {
                let index = rng.random_range(0..group.paths.len());
                group.paths[index].set(condition(&mut rng));
            }
            6 => {
                let rates = rates(&mut rng);
                group.table.faults().inject_at_random(rng.random(), rates);
            }
            7 => {
                let index = rng.random_range(0..group.keepers.len());
                group.net.process_faults(&support::address(index)).set(condition(&mut rng));
            }
            8 if group.keepers.len() < 2 * N_KEEPERS => {
                recorded.push(support::record_versions(&group.start_keeper()));
            }
            _ => group.beat(),
        }
        time::sleep(Duration::from_millis(rng.random_range(0..1500))).await;
    }
    heal(&group).await;
    for proposal in proposals {
        proposal.await.unwrap();
    }
    check(seed, &group, &ledger, &recorded).await
}

async fn propose(keeper: support::Keeper, mark: u32, ledger: Ledger) {
    let base = keeper.active().version;
    let told = match keeper.propose(support::marked(base, mark)).await {
        Ok(accepted) => Told::Accepted(accepted.version),
        Err(proposal::ProposalError::Unsettled { .. }) => Told::Unsettled,
        Err(proposal::ProposalError::Conflict(_) | proposal::ProposalError::NotWritten(_)) => {
            Told::NotWritten
        }
        Err(proposal::ProposalError::Faults(faults)) => panic!("{faults}"),
    };
    ledger.lock().unwrap().insert(mark, told);
}

async fn heal(group: &support::KeeperGroup) {
    group.table.faults().set(fault::Condition::Up);
    group.table.faults().inject_at_random(0, fault::FaultRates::default());
    for (index, path) in group.paths.iter().enumerate() {
        path.set(fault::Condition::Up);
        group.net.process_faults(&support::address(index)).set(fault::Condition::Up);
    }
    // Calls that vanished end, and writes that were delayed have their effect.
    time::sleep(2 * fault::LOST_CALL_TIMEOUT).await;
}

async fn check(
    seed: u64,
    group: &support::KeeperGroup,
    ledger: &Ledger,
    recorded: &[Arc<Mutex<Vec<ids::ConfigVersion>>>],
) -> String {
    let stored = stored_marks(group).await;
    let newest = stored.keys().last().copied().unwrap_or(0);
    group.settle(newest, IN_FORCE_WITHIN).await;
    for (index, keeper) in group.keepers.iter().enumerate() {
        let active = keeper.active();
        assert_eq!(active.version, newest, "seed {seed}: keeper {index} has another version");
        let mark = (0 < newest).then(|| active.document.accounts[0].limits.queued_jobs);
        assert_eq!(mark.as_ref(), stored.get(&newest), "seed {seed}: another document");
    }
    for versions in recorded {
        let versions = versions.lock().unwrap();
        assert!(versions.is_sorted_by(|left, right| left < right), "seed {seed}: {versions:?}");
    }
    let ledger = ledger.lock().unwrap();
    for (mark, told) in ledger.iter() {
        let places = stored.iter().filter(|(_, it)| *it == mark).map(|(version, _)| *version);
        let places = places.collect::<Vec<_>>();
        let truth = match told {
            Told::Accepted(version) => places == [*version],
            Told::NotWritten => places.is_empty(),
            Told::Unsettled => places.len() <= 1,
        };
        assert!(truth, "seed {seed}: draft {mark} was told {told:?} and stands at {places:?}");
    }
    let count = |wanted: fn(&Told) -> bool| ledger.values().filter(|it| wanted(it)).count();
    format!(
        "{} accepted, {} not written, {} unsettled, {newest} versions",
        count(|it| matches!(it, Told::Accepted(_))),
        count(|it| *it == Told::NotWritten),
        count(|it| *it == Told::Unsettled),
    )
}

/// The mark of each version in the table, past all faults.
async fn stored_marks(group: &support::KeeperGroup) -> BTreeMap<ids::ConfigVersion, u32> {
    let rows = group.table.peek("config/").into_iter().filter_map(|it| it.value);
    let rows = rows.map(|it| almondpass_peer::codec::decode::<model::ConfigRow>(&it).unwrap());
    rows.map(|it| (it.version, it.document.accounts[0].limits.queued_jobs)).collect()
}

fn condition(rng: &mut ChaCha8Rng) -> fault::Condition {
    match rng.random_range(0..8) {
        0 => fault::Condition::Refusing,
        1 => fault::Condition::Dropping,
        2 => fault::Condition::Paused,
        3 => fault::Condition::Slow(Duration::from_millis(rng.random_range(1..4000))),
        4 => fault::Condition::Flapping {
            up: Duration::from_millis(rng.random_range(100..3000)),
            down: Duration::from_millis(rng.random_range(100..3000)),
        },
        _ => fault::Condition::Up,
    }
}

fn rates(rng: &mut ChaCha8Rng) -> fault::FaultRates {
    let mut rate = || if rng.random::<bool>() { rng.random::<f64>() / 6.0 } else { 0.0 };
    fault::FaultRates {
        refused: rate(),
        unavailable: rate(),
        request_lost: rate(),
        answer_lost: rate(),
        delayed_effect: rate(),
        slow: rate(),
        max_delay: Duration::from_secs(20),
    }
}
