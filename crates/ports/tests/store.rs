//! The store client against a store that goes away, is slow, and loses answers.

use std::collections::BTreeMap;
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::objects::ObjectStore;
use almondpass_ports::table::TableService;
use almondpass_ports::{group, store, store_objects, store_table};
use almondpass_schema::{blob, model};
use almondpass_standin::{fault, object, table};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

const TRANSACT: &str = model::TableTransaction::PATH;
const GET: &str = model::TableGet::PATH;
const PUT: &str = model::ObjectPut::PATH;
/// Clients of the store in the long outages.
const N_CLIENTS: u64 = 30;

const ROW: &str = "scheduler/vadodara";

/// A store client and the fakes behind it.
struct StoreBench {
    store: store_table::StoreTable<table::TableFake>,
    objects: store_objects::StoreObjects<object::ObjectFake>,
    table: table::TableFake,
    object_fake: object::ObjectFake,
    /// Faults of the client's own way to the table; `table` and `object_fake` go past them.
    path: fault::FaultPlan,
}

fn bench() -> StoreBench {
    bench_with(store::StoreConfig::default())
}

fn bench_with(config: store::StoreConfig) -> StoreBench {
    let (table, object_fake) = (table::TableFake::new(), object::ObjectFake::new());
    let path = fault::FaultPlan::new();
    let near = (table.with_path_faults(path.clone()), object_fake.with_path_faults(path.clone()));
    let (store, objects) = store::open(near.0, near.1, config);
    StoreBench { store, objects, table, object_fake, path }
}

fn blob(text: &str) -> blob::Blob {
    blob::Blob::from(text.as_bytes().to_vec())
}

fn write(key: &str, version: u64, value: &str) -> model::TableTransaction {
    model::TableTransaction {
        conditions: vec![model::TableCondition { key: key.to_owned(), version }],
        writes: vec![model::TableWrite { key: key.to_owned(), value: Some(blob(value)) }],
    }
}

fn get(key: &str) -> model::TableGet {
    model::TableGet { keys: vec![key.to_owned()] }
}

fn committed(version: u64) -> Result<model::TableOutcome, error::CallError> {
    Ok(model::TableOutcome::Committed { versions: vec![version] })
}

fn row(key: &str, version: u64, value: &str) -> model::TableRow {
    model::TableRow { key: key.to_owned(), version, value: Some(blob(value)) }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($bench:ident) $body:block)*) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            let $bench = bench();
            $body
        })*
    };
}

cases! {
    write_is_committed_and_read(it) {
        assert_eq!(it.store.transact(write(ROW, 0, "a")).await, committed(1));
        let read = it.store.get(get(ROW)).await.unwrap();
        assert_eq!(read.rows, [row(ROW, 1, "a")]);
    }

    /// Symptom: a holder believes that its write failed, and writes again or gives up its tenure.
    /// Sequence: the write takes effect, the connection breaks. Cause: the answer was lost.
    lost_answer_is_settled_as_committed(it) {
        it.path.inject_next(TRANSACT, fault::Fault::AnswerLost);
        assert_eq!(it.store.transact(write(ROW, 0, "a")).await, committed(1));
        assert_eq!(it.table.committed_transactions(), 1);
    }

    /// Symptom: a write takes effect after its caller was told that it failed. Sequence: the
    /// connection breaks, the row still stands as before, and the write arrives 2 s later. Cause:
    /// the write was under way all the time.
    late_write_is_not_made_twice(it) {
        let late = fault::Fault::DelayedEffect(Duration::from_secs(2));
        it.path.inject_next(TRANSACT, late);
        assert_eq!(it.store.transact(write(ROW, 0, "a")).await, committed(1));
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(it.table.peek(ROW), [row(ROW, 1, "a")]);
    }

    /// Symptom: two holders. Sequence: our write is lost on the way, another holder writes the
    /// row, our repetition meets the conflict. Cause: the conflict was taken for our own write.
    lost_race_is_a_conflict(it) {
        it.path.inject_next(TRANSACT, fault::Fault::DelayedEffect(Duration::from_secs(9)));
        let other = it.table.clone();
        let (ours, theirs) = tokio::join!(
            it.store.transact(write(ROW, 0, "ours")),
            async move { other.transact(write(ROW, 0, "theirs")).await }
        );
        assert_eq!(theirs, committed(1));
        let rows = vec![row(ROW, 1, "theirs")];
        assert_eq!(ours, Ok(model::TableOutcome::Conflict { rows }));
    }

    /// Symptom: an instance puts a configuration in force that is in no table, and jobs committed in
    /// the same group are lost. Sequence: two writers count a number up and write a row each; ours
    /// is lost on its way, theirs commits. Cause: the number is the same whoever wrote it, and was
    /// taken for proof.
    row_that_two_writers_write_alike_is_no_proof(it) {
        let both = |value: &str| {
            let mut transaction = write("config-head", 0, "1");
            let row = write("config/1", 0, value);
            transaction.conditions.extend(row.conditions);
            transaction.writes.extend(row.writes);
            transaction
        };
        it.path.inject_next(TRANSACT, fault::Fault::DelayedEffect(Duration::from_secs(9)));
        let other = it.table.clone();
        let (ours, neighbours, theirs) = tokio::join!(
            it.store.transact(both("ours")),
            it.store.transact(write("job/1", 0, "a")),
            async move { other.transact(both("theirs")).await }
        );
        assert!(matches!(theirs, Ok(model::TableOutcome::Committed { .. })));
        let rows = vec![row("config/1", 1, "theirs")];
        assert_eq!(ours, Ok(model::TableOutcome::Conflict { rows }));
        assert_eq!(neighbours, committed(1));
        assert_eq!(it.table.peek("job/"), [row("job/1", 1, "a")]);
    }

    /// Symptom: a write is reported lost though it took effect for a while. Sequence: it takes
    /// effect, its answer is lost, another holder writes the row twice. Cause: the row no longer
    /// shows who wrote the version in between.
    covered_traces_stay_unknown(it) {
        it.path.inject_next(TRANSACT, fault::Fault::AnswerLost);
        let other = it.table.clone();
        let overwrite = async move {
            while other.peek(ROW).is_empty() {
                time::sleep(Duration::from_millis(1)).await;
            }
            other.transact(write(ROW, 1, "b")).await.unwrap();
            other.transact(write(ROW, 2, "c")).await.unwrap();
        };
        let (ours, ()) = tokio::join!(it.store.transact(write(ROW, 0, "a")), overwrite);
        assert!(!ours.unwrap_err().fault.had_no_effect());
    }

    /// Symptom: an older value comes back. Sequence: a write without a condition loses its
    /// answer, another writer follows, the repetition overwrites it. Cause: nothing told that the
    /// first had taken effect.
    write_without_witness_is_not_repeated(it) {
        it.path.inject_next(TRANSACT, fault::Fault::AnswerLost);
        let transaction =
            model::TableTransaction { conditions: Vec::new(), ..write(ROW, 0, "a") };
        let error = it.store.transact(transaction).await.unwrap_err();
        assert!(!error.fault.had_no_effect());
        assert_eq!(it.table.committed_transactions(), 1);
    }

    error_before_the_effect_is_retried(it) {
        it.path.inject_next(TRANSACT, fault::Fault::Unavailable);
        assert_eq!(it.store.transact(write(ROW, 0, "a")).await, committed(1));
    }

    slow_store_meets_the_deadline(it) {
        it.path.set(fault::Condition::Slow(Duration::from_secs(10)));
        let started = Instant::now();
        let error = it.store.get(get(ROW)).await.unwrap_err();
        assert_eq!(error.fault, error::CallFault::TimedOut(Duration::from_secs(1)));
        assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    }

    /// Symptom: callers hang for their deadlines though the store is known to be down. Sequence:
    /// five calls fail, the sixth waits again. Cause: nothing remembers the failures.
    open_circuit_fails_at_once_without_effect(it) {
        it.path.set(fault::Condition::Dropping);
        while it.path.calls(GET) < 5 {
            assert!(it.store.get(get(ROW)).await.is_err());
        }
        let started = Instant::now();
        let error = it.store.transact(write(ROW, 0, "a")).await.unwrap_err();
        assert!(error.fault.had_no_effect(), "{error}");
        assert!(started.elapsed() < Duration::from_millis(50), "{:?}", started.elapsed());
    }

    lost_put_is_settled_as_ours(it) {
        let put = model::ObjectPut { key: "intent/1".to_owned(), value: blob("ours") };
        it.path.inject_next(PUT, fault::Fault::AnswerLost);
        assert_eq!(it.objects.put(put).await, Ok(model::ObjectPutOutcome::Created));
    }

    /// Symptom: two writers both believe that batch 1 is theirs. Sequence: our put is lost on the
    /// way, another holder puts its own, our repetition finds an object. Cause: an object that
    /// exists was taken for ours.
    lost_put_after_anothers_is_not_ours(it) {
        let put = |value| model::ObjectPut { key: "intent/1".to_owned(), value: blob(value) };
        let late = fault::Fault::DelayedEffect(Duration::from_secs(9));
        it.path.inject_next(PUT, late);
        let other = it.object_fake.clone();
        let (ours, theirs) = tokio::join!(it.objects.put(put("ours")), async move {
            other.put(put("theirs")).await
        });
        assert_eq!(theirs, Ok(model::ObjectPutOutcome::Created));
        assert_eq!(ours, Ok(model::ObjectPutOutcome::Exists));
    }

    concurrent_writes_share_a_commit(it) {
        let mut writes = JoinSet::new();
        for n in 0..50 {
            let store = it.store.clone();
            writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
        }
        while let Some(outcome) = writes.join_next().await {
            assert_eq!(outcome.unwrap(), committed(1));
        }
        assert_eq!(it.table.committed_transactions(), 1);
        assert_eq!(it.table.peek("job/").len(), 50);
    }

    /// Symptom: one stale writer makes its neighbours' writes fail. Sequence: ten writes are
    /// grouped, one has an old version. Cause: a group commits as a whole or not at all.
    conflict_in_a_group_is_its_members_own(it) {
        it.table.transact(write("job/3", 0, "before")).await.unwrap();
        let mut writes = JoinSet::new();
        for n in 0..10 {
            let store = it.store.clone();
            let key = format!("job/{n}");
            writes.spawn(async move { (n, store.transact(write(&key, 0, "a")).await) });
        }
        while let Some(outcome) = writes.join_next().await {
            let (n, outcome) = outcome.unwrap();
            let conflict = model::TableOutcome::Conflict { rows: vec![row("job/3", 1, "before")] };
            assert_eq!(outcome, if n == 3 { Ok(conflict) } else { committed(1) });
        }
    }

    /// Symptom: one writer's mistake makes its neighbours' writes fail. Sequence: writes are
    /// grouped, the platform rejects the group for good. Cause: one member is at fault, and the
    /// platform does not say which.
    rejected_group_is_tried_one_by_one(it) {
        it.path.inject_next(TRANSACT, fault::Fault::Rejected);
        let mut writes = JoinSet::new();
        for n in 0..10 {
            let store = it.store.clone();
            writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
        }
        while let Some(outcome) = writes.join_next().await {
            assert_eq!(outcome.unwrap(), committed(1));
        }
        assert_eq!(it.table.committed_transactions(), 10);
    }

    same_row_is_written_in_order(it) {
        let (first, second) = tokio::join!(
            it.store.transact(write(ROW, 0, "a")),
            it.store.transact(write(ROW, 1, "b"))
        );
        assert_eq!(first, committed(1));
        assert_eq!(second, committed(2));
    }

    same_reads_are_made_once(it) {
        it.path.set(fault::Condition::Slow(Duration::from_millis(10)));
        let mut reads = JoinSet::new();
        for _ in 0..50 {
            let store = it.store.clone();
            reads.spawn(async move { store.get(get(ROW)).await });
        }
        while let Some(read) = reads.join_next().await {
            assert!(read.unwrap().is_ok());
        }
        assert!(it.path.calls(GET) <= 2);
    }

    /// Symptom: a reader misses a write that it knows to be committed. Sequence: a slow read is
    /// under way, a write commits, a new read joins the slow one. Cause: that one had looked
    /// before the write.
    read_does_not_join_an_earlier_one(it) {
        it.path.inject_next(GET, fault::Fault::Slow(Duration::from_millis(500)));
        let earlier = it.store.clone();
        let earlier = tokio::spawn(async move { earlier.get(get(ROW)).await });
        time::sleep(Duration::from_millis(300)).await;
        it.store.transact(write(ROW, 0, "a")).await.unwrap();
        let later = it.store.get(get(ROW)).await.unwrap();
        assert_eq!(later.rows, [row(ROW, 1, "a")]);
        assert_eq!(earlier.await.unwrap().unwrap().rows[0].version, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn writes_keep_under_the_cap() {
    let group = group::GroupConfig { rows: 2, ..group::GroupConfig::default() };
    let patience = Duration::from_secs(60);
    let config = store::StoreConfig {
        writes_per_second: 50,
        patience,
        group,
        ..store::StoreConfig::default()
    };
    let it = bench_with(config);
    let started = Instant::now();
    let mut writes = JoinSet::new();
    for n in 0..500 {
        let store = it.store.clone();
        writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
    }
    while let Some(outcome) = writes.join_next().await {
        assert_eq!(outcome.unwrap(), committed(1));
    }
    let seconds = started.elapsed().as_secs_f64();
    assert_eq!(it.table.committed_transactions(), 500);
    assert!((9.0..11.0).contains(&seconds), "{seconds}");
}

#[tokio::test(start_paused = true)]
async fn write_that_the_cap_cannot_admit_in_time_had_no_effect() {
    let group = group::GroupConfig { rows: 2, ..group::GroupConfig::default() };
    let config =
        store::StoreConfig { writes_per_second: 1, group, ..store::StoreConfig::default() };
    let it = bench_with(config);
    let mut writes = JoinSet::new();
    for n in 0..10 {
        let store = it.store.clone();
        writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
    }
    let mut made = 0;
    while let Some(outcome) = writes.join_next().await {
        match outcome.unwrap() {
            Ok(_) => made += 1,
            Err(error) => assert!(error.fault.had_no_effect(), "{error}"),
        }
    }
    assert_eq!(it.table.peek("job/").len(), made);
    assert!((3..=5).contains(&made), "{made}");
}

/// Symptom: the store goes down again just when it comes back. Sequence: it is down for an hour,
/// thirty clients poll and write on, it recovers. Cause: everyone retries at once,
/// several times.
async fn check_hour_of(down: fault::Condition) {
    let it = bench();
    let mut clients = JoinSet::new();
    for n in 0..N_CLIENTS {
        let store = it.store.clone();
        clients.spawn(async move {
            let key = format!("job/{n}");
            loop {
                let _ = store.get(get(&key)).await;
                let _ = store.transact(write(&key, 0, "a")).await;
                time::sleep(Duration::from_secs(1)).await;
            }
        });
    }
    let calls = || it.path.calls(GET) + it.path.calls(TRANSACT);
    time::sleep(Duration::from_secs(10)).await;
    let (before, up) = (calls(), it.table.committed_transactions());
    assert!(0 < up);
    it.path.set(down);
    time::sleep(Duration::from_secs(3600)).await;
    let during = calls() - before;
    assert!(during <= 2 * 3600, "{during} calls in an hour of outage");
    it.path.set(fault::Condition::Up);
    let recovering = calls();
    time::sleep(Duration::from_secs(3)).await;
    // The usual load is one read a second for each client, and a few grouped writes.
    let after = calls() - recovering;
    assert!((N_CLIENTS..=6 * N_CLIENTS).contains(&after), "{after} calls in the first 3 s");
    let read = it.store.get(get("job/0")).await;
    assert_eq!(read.unwrap().rows[0].version, 1);
}

macro_rules! hours {
    ($($name:ident: $down:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            check_hour_of($down).await;
        })*
    };
}

hours! {
    hour_of_refused_connections: fault::Condition::Refusing;
    hour_of_silence: fault::Condition::Dropping;
    hour_of_slowness: fault::Condition::Slow(Duration::from_secs(20));
}

/// Writers race on a few rows while faults strike; each says what it was told, and the table says
/// what happened. A row of its own for each transaction, written in the same one, keeps count.
async fn check_truth(seed: u64, condition: fault::Condition) {
    let it = bench();
    it.path.set(condition);
    let rates = fault::FaultRates {
        refused: 0.05,
        unavailable: 0.05,
        request_lost: 0.05,
        answer_lost: 0.1,
        delayed_effect: 0.1,
        slow: 0.1,
        max_delay: Duration::from_secs(3),
    };
    it.path.inject_at_random(seed, rates);
    let mut writers = JoinSet::new();
    for writer in 0..8_u32 {
        let store = it.store.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + u64::from(writer));
        writers.spawn(async move {
            let mut told = BTreeMap::new();
            for n in 0..40 {
                let shared = format!("shared/{}", rng.random_range(0..6));
                let Ok(read) = store.get(get(&shared)).await else { continue };
                let own = format!("log/{writer}-{n:02}");
                let mut transaction = write(&shared, read.rows[0].version, &own);
                // Two writers may count this row up to the same value.
                let counter = format!("counter/{}", rng.random_range(0..3));
                let Ok(read) = store.get(get(&counter)).await else { continue };
                let count = read.rows[0].version;
                let counted = write(&counter, count, &count.to_string());
                transaction.conditions.extend(counted.conditions);
                transaction.writes.extend(counted.writes);
                transaction
                    .writes
                    .push(model::TableWrite { key: own.clone(), value: Some(blob(&own)) });
                told.insert(own, store.transact(transaction).await);
                time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
            }
            told
        });
    }
    let mut told = BTreeMap::new();
    while let Some(writer) = writers.join_next().await {
        told.append(&mut writer.unwrap());
    }
    time::sleep(Duration::from_secs(120)).await;
    let happened = it.table.peek("log/").into_iter().map(|it| (it.key, it.version));
    let happened = happened.collect::<BTreeMap<_, _>>();
    let mut n_committed = 0;
    for (own, told) in told {
        let times = happened.get(&own).copied();
        match told {
            Ok(model::TableOutcome::Committed { .. }) => {
                n_committed += 1;
                assert_eq!(times, Some(1), "{own} was told to be committed");
            }
            Ok(model::TableOutcome::Conflict { .. }) => {
                assert_eq!(times, None, "{own} was told to conflict");
            }
            Err(error) if error.fault.had_no_effect() => {
                assert_eq!(times, None, "{own} was told {error}");
            }
            Err(_) => assert!(times.is_none_or(|it| it == 1), "{own} was made twice"),
        }
    }
    assert!(0 < n_committed);
}

macro_rules! truths {
    ($($name:ident: $condition:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            for seed in 1..=20 {
                check_truth(seed, $condition).await;
            }
        })*
    };
}

truths! {
    callers_learn_the_truth_under_faults: fault::Condition::Up;
    callers_learn_the_truth_while_flapping: fault::Condition::Flapping {
        up: Duration::from_secs(2),
        down: Duration::from_secs(1),
    };
    callers_learn_the_truth_while_slow: fault::Condition::Slow(Duration::from_millis(900));
}
