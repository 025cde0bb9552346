//! Tests the store client against a store that is unavailable, is slow, or loses answers.

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
/// Clients of the store in the tests of long outages.
const N_CLIENTS: u64 = 30;

const ROW: &str = "scheduler/vadodara";

/// A store client and the fake services that it calls.
struct StoreFixture {
    store: store_table::StoreTable<table::TableFake>,
    objects: store_objects::StoreObjects<object::ObjectFake>,
    table: table::TableFake,
    object_fake: object::ObjectFake,
    /// Faults injected into the calls of the client. Calls of `table` and `object_fake` bypass them.
    faults: fault::FaultPlan,
}

fn fixture() -> StoreFixture {
    fixture_with(store::StoreConfig::default())
}

fn fixture_with(config: store::StoreConfig) -> StoreFixture {
    let (table, object_fake) = (table::TableFake::new(), object::ObjectFake::new());
    let faults = fault::FaultPlan::new();
    let faulty =
        (table.with_path_faults(faults.clone()), object_fake.with_path_faults(faults.clone()));
    let (store, objects) = store::open(faulty.0, faulty.1, config);
    StoreFixture { store, objects, table, object_fake, faults }
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
    ($($(#[$doc:meta])* $name:ident($fixture:ident) $body:block)*) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            let $fixture = fixture();
            $body
        })*
    };
}

cases! {
    write_is_committed_and_read(fixture) {
        assert_eq!(fixture.store.transact(write(ROW, 0, "a")).await, committed(1));
        let read = fixture.store.get(get(ROW)).await.unwrap();
        assert_eq!(read.rows, [row(ROW, 1, "a")]);
    }

    /// A write takes effect, but the connection breaks and the answer is lost. If the client reported a
    /// failure, a tenure holder would write again or give up its tenure.
    lost_answer_is_settled_as_committed(fixture) {
        fixture.faults.inject_next(TRANSACT, fault::Fault::AnswerLost);
        assert_eq!(fixture.store.transact(write(ROW, 0, "a")).await, committed(1));
        assert_eq!(fixture.table.committed_transactions(), 1);
    }

    /// The connection breaks while a write is in transit: the row is still unchanged when read back, and
    /// the write arrives 2 s later. If the client reported a failure, the write would take effect after it.
    delayed_write_is_not_made_twice(fixture) {
        let late = fault::Fault::DelayedEffect(Duration::from_secs(2));
        fixture.faults.inject_next(TRANSACT, late);
        assert_eq!(fixture.store.transact(write(ROW, 0, "a")).await, committed(1));
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fixture.table.peek(ROW), [row(ROW, 1, "a")]);
    }

    /// The client's write is lost in transit, another holder writes the row, and the client's retry meets
    /// the conflict. If the conflict were attributed to the client's own write, there would be two holders.
    write_that_lost_a_race_is_a_conflict(fixture) {
        fixture.faults.inject_next(TRANSACT, fault::Fault::DelayedEffect(Duration::from_secs(9)));
        let other = fixture.table.clone();
        let (ours, theirs) = tokio::join!(
            fixture.store.transact(write(ROW, 0, "ours")),
            async move { other.transact(write(ROW, 0, "theirs")).await }
        );
        assert_eq!(theirs, committed(1));
        let rows = vec![row(ROW, 1, "theirs")];
        assert_eq!(ours, Ok(model::TableOutcome::Conflict { rows }));
    }

    /// Two writers increase the same counter and write a row each; the client's transaction is lost in
    /// transit, the other commits. The counter has the same value whoever wrote it. If it counted as proof,
    /// an instance would activate a configuration that is in no table, and jobs committed in the same group
    /// would be lost.
    row_with_equal_values_from_two_writers_is_no_proof(fixture) {
        let both = |value: &str| {
            let mut transaction = write("config-head", 0, "1");
            let row = write("config/1", 0, value);
            transaction.conditions.extend(row.conditions);
            transaction.writes.extend(row.writes);
            transaction
        };
        fixture.faults.inject_next(TRANSACT, fault::Fault::DelayedEffect(Duration::from_secs(9)));
        let other = fixture.table.clone();
        let (ours, neighbours, theirs) = tokio::join!(
            fixture.store.transact(both("ours")),
            fixture.store.transact(write("job/1", 0, "a")),
            async move { other.transact(both("theirs")).await }
        );
        assert!(matches!(theirs, Ok(model::TableOutcome::Committed { .. })));
        let rows = vec![row("config/1", 1, "theirs")];
        assert_eq!(ours, Ok(model::TableOutcome::Conflict { rows }));
        assert_eq!(neighbours, committed(1));
        assert_eq!(fixture.table.peek("job/"), [row("job/1", 1, "a")]);
    }

    /// A write takes effect, its answer is lost, and another holder writes the row twice. The row no longer
    /// shows who wrote the earlier version, so the client must not report that the write had no effect.
    overwritten_witness_leaves_the_outcome_unknown(fixture) {
        fixture.faults.inject_next(TRANSACT, fault::Fault::AnswerLost);
        let other = fixture.table.clone();
        let overwrite = async move {
            while other.peek(ROW).is_empty() {
                time::sleep(Duration::from_millis(1)).await;
            }
            other.transact(write(ROW, 1, "b")).await.unwrap();
            other.transact(write(ROW, 2, "c")).await.unwrap();
        };
        let (ours, ()) = tokio::join!(fixture.store.transact(write(ROW, 0, "a")), overwrite);
        assert!(!ours.unwrap_err().fault.had_no_effect());
    }

    /// The answer to a write without a condition is lost, and nothing shows whether it took effect. A
    /// retry could overwrite the value of a later writer with the older one.
    write_without_witness_is_not_repeated(fixture) {
        fixture.faults.inject_next(TRANSACT, fault::Fault::AnswerLost);
        let transaction =
            model::TableTransaction { conditions: Vec::new(), ..write(ROW, 0, "a") };
        let error = fixture.store.transact(transaction).await.unwrap_err();
        assert!(!error.fault.had_no_effect());
        assert_eq!(fixture.table.committed_transactions(), 1);
    }

    error_before_the_effect_is_retried(fixture) {
        fixture.faults.inject_next(TRANSACT, fault::Fault::Unavailable);
        assert_eq!(fixture.store.transact(write(ROW, 0, "a")).await, committed(1));
    }

    call_to_a_slow_store_ends_at_the_deadline(fixture) {
        fixture.faults.set(fault::Condition::Slow(Duration::from_secs(10)));
        let started = Instant::now();
        let error = fixture.store.get(get(ROW)).await.unwrap_err();
        assert_eq!(error.fault, error::CallFault::TimedOut(Duration::from_secs(1)));
        assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
    }

    /// Five calls in a row fail. Without a record of these failures, the sixth caller would wait for its
    /// deadline although the store is known to be down.
    open_circuit_fails_at_once_without_effect(fixture) {
        fixture.faults.set(fault::Condition::Dropping);
        while fixture.faults.calls(GET) < 5 {
            assert!(fixture.store.get(get(ROW)).await.is_err());
        }
        let started = Instant::now();
        let error = fixture.store.transact(write(ROW, 0, "a")).await.unwrap_err();
        assert!(error.fault.had_no_effect(), "{error}");
        assert!(started.elapsed() < Duration::from_millis(50), "{:?}", started.elapsed());
    }

    lost_put_is_settled_as_created(fixture) {
        let put = model::ObjectPut { key: "intent/1".to_owned(), value: blob("ours") };
        fixture.faults.inject_next(PUT, fault::Fault::AnswerLost);
        assert_eq!(fixture.objects.put(put).await, Ok(model::ObjectPutOutcome::Created));
    }

    /// The client's put is lost in transit, another holder puts its own object, and the client's retry
    /// finds an object. If the client took that object for its own, two writers would both own batch 1.
    lost_put_after_another_writers_put_is_reported_as_existing(fixture) {
        let put = |value| model::ObjectPut { key: "intent/1".to_owned(), value: blob(value) };
        let late = fault::Fault::DelayedEffect(Duration::from_secs(9));
        fixture.faults.inject_next(PUT, late);
        let other = fixture.object_fake.clone();
        let (ours, theirs) = tokio::join!(fixture.objects.put(put("ours")), async move {
            other.put(put("theirs")).await
        });
        assert_eq!(theirs, Ok(model::ObjectPutOutcome::Created));
        assert_eq!(ours, Ok(model::ObjectPutOutcome::Exists));
    }

    concurrent_writes_share_a_commit(fixture) {
        let mut writes = JoinSet::new();
        for n in 0..50 {
            let store = fixture.store.clone();
            writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
        }
        while let Some(outcome) = writes.join_next().await {
            assert_eq!(outcome.unwrap(), committed(1));
        }
        assert_eq!(fixture.table.committed_transactions(), 1);
        assert_eq!(fixture.table.peek("job/").len(), 50);
    }

    /// Ten writes are grouped, and one has an outdated version. Since a group commits as a whole or not at
    /// all, the stale write could make the other members fail.
    conflict_in_a_group_affects_only_its_member(fixture) {
        fixture.table.transact(write("job/3", 0, "before")).await.unwrap();
        let mut writes = JoinSet::new();
        for n in 0..10 {
            let store = fixture.store.clone();
            let key = format!("job/{n}");
            writes.spawn(async move { (n, store.transact(write(&key, 0, "a")).await) });
        }
        while let Some(outcome) = writes.join_next().await {
            let (n, outcome) = outcome.unwrap();
            let conflict = model::TableOutcome::Conflict { rows: vec![row("job/3", 1, "before")] };
            assert_eq!(outcome, if n == 3 { Ok(conflict) } else { committed(1) });
        }
    }

    /// The platform rejects a group permanently because of one invalid member, without naming the member.
    /// The invalid write could make the other members fail.
    members_of_a_rejected_group_are_committed_singly(fixture) {
        fixture.faults.inject_next(TRANSACT, fault::Fault::Rejected);
        let mut writes = JoinSet::new();
        for n in 0..10 {
            let store = fixture.store.clone();
            writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
        }
        while let Some(outcome) = writes.join_next().await {
            assert_eq!(outcome.unwrap(), committed(1));
        }
        assert_eq!(fixture.table.committed_transactions(), 10);
    }

    writes_of_one_row_are_committed_in_order(fixture) {
        let (first, second) = tokio::join!(
            fixture.store.transact(write(ROW, 0, "a")),
            fixture.store.transact(write(ROW, 1, "b"))
        );
        assert_eq!(first, committed(1));
        assert_eq!(second, committed(2));
    }

    concurrent_equal_reads_are_coalesced(fixture) {
        fixture.faults.set(fault::Condition::Slow(Duration::from_millis(10)));
        let mut reads = JoinSet::new();
        for _ in 0..50 {
            let store = fixture.store.clone();
            reads.spawn(async move { store.get(get(ROW)).await });
        }
        while let Some(read) = reads.join_next().await {
            assert!(read.unwrap().is_ok());
        }
        assert!(fixture.faults.calls(GET) <= 2);
    }

    /// While a slow read is in progress, a write commits and a new read starts. If the new read joined the
    /// slow one, which saw the state before the write, the reader would miss a write known to be committed.
    read_does_not_join_an_earlier_one(fixture) {
        fixture.faults.inject_next(GET, fault::Fault::Slow(Duration::from_millis(500)));
        let earlier = fixture.store.clone();
        let earlier = tokio::spawn(async move { earlier.get(get(ROW)).await });
        time::sleep(Duration::from_millis(300)).await;
        fixture.store.transact(write(ROW, 0, "a")).await.unwrap();
        let later = fixture.store.get(get(ROW)).await.unwrap();
        assert_eq!(later.rows, [row(ROW, 1, "a")]);
        assert_eq!(earlier.await.unwrap().unwrap().rows[0].version, 0);
    }
}

#[tokio::test(start_paused = true)]
async fn write_rate_stays_below_the_cap() {
    let group = group::GroupConfig { max_rows: 2, ..group::GroupConfig::default() };
    let call_timeout = Duration::from_secs(60);
    let config = store::StoreConfig {
        writes_per_second: 50,
        call_timeout,
        group,
        ..store::StoreConfig::default()
    };
    let fixture = fixture_with(config);
    let started = Instant::now();
    let mut writes = JoinSet::new();
    for n in 0..500 {
        let store = fixture.store.clone();
        writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
    }
    while let Some(outcome) = writes.join_next().await {
        assert_eq!(outcome.unwrap(), committed(1));
    }
    let seconds = started.elapsed().as_secs_f64();
    assert_eq!(fixture.table.committed_transactions(), 500);
    assert!((9.0..11.0).contains(&seconds), "{seconds}");
}

#[tokio::test(start_paused = true)]
async fn write_that_the_cap_cannot_admit_in_time_had_no_effect() {
    let group = group::GroupConfig { max_rows: 2, ..group::GroupConfig::default() };
    let config =
        store::StoreConfig { writes_per_second: 1, group, ..store::StoreConfig::default() };
    let fixture = fixture_with(config);
    let mut writes = JoinSet::new();
    for n in 0..10 {
        let store = fixture.store.clone();
        writes.spawn(async move { store.transact(write(&format!("job/{n}"), 0, "a")).await });
    }
    let mut made = 0;
    while let Some(outcome) = writes.join_next().await {
        match outcome.unwrap() {
            Ok(_) => made += 1,
            Err(error) => assert!(error.fault.had_no_effect(), "{error}"),
        }
    }
    assert_eq!(fixture.table.peek("job/").len(), made);
    assert!((3..=5).contains(&made), "{made}");
}

/// The store is down for an hour while thirty clients continue to poll and write, then recovers. If all
/// clients retried at once and several times, the load would take the store down again.
async fn check_load_in_outage(down: fault::Condition) {
    let fixture = fixture();
    let mut clients = JoinSet::new();
    for n in 0..N_CLIENTS {
        let store = fixture.store.clone();
        clients.spawn(async move {
            let key = format!("job/{n}");
            loop {
                let _ = store.get(get(&key)).await;
                let _ = store.transact(write(&key, 0, "a")).await;
                time::sleep(Duration::from_secs(1)).await;
            }
        });
    }
    let calls = || fixture.faults.calls(GET) + fixture.faults.calls(TRANSACT);
    time::sleep(Duration::from_secs(10)).await;
    let (before, up) = (calls(), fixture.table.committed_transactions());
    assert!(0 < up);
    fixture.faults.set(down);
    time::sleep(Duration::from_secs(3600)).await;
    let during = calls() - before;
    assert!(during <= 2 * 3600, "{during} calls in an hour of outage");
    fixture.faults.set(fault::Condition::Up);
    let recovering = calls();
    time::sleep(Duration::from_secs(3)).await;
    // The usual load is one read a second for each client, and a few grouped writes.
    let after = calls() - recovering;
    assert!((N_CLIENTS..=6 * N_CLIENTS).contains(&after), "{after} calls in the first 3 s");
    let read = fixture.store.get(get("job/0")).await;
    assert_eq!(read.unwrap().rows[0].version, 1);
}

macro_rules! outage_tests {
    ($($name:ident: $down:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            check_load_in_outage($down).await;
        })*
    };
}

outage_tests! {
    load_stays_bounded_in_an_hour_of_refused_connections: fault::Condition::Refusing;
    load_stays_bounded_in_an_hour_of_dropped_calls: fault::Condition::Dropping;
    load_stays_bounded_in_an_hour_of_slow_answers: fault::Condition::Slow(Duration::from_secs(20));
}

/// Writers compete for a few rows while faults are injected, and record the reported outcome of each
/// transaction. Each transaction also writes a row of its own, whose version shows afterwards whether and
/// how often the transaction took effect; it has to match the reported outcome.
async fn check_reported_outcomes(seed: u64, condition: fault::Condition) {
    let fixture = fixture();
    fixture.faults.set(condition);
    let rates = fault::FaultRates {
        refused: 0.05,
        unavailable: 0.05,
        request_lost: 0.05,
        answer_lost: 0.1,
        delayed_effect: 0.1,
        slow: 0.1,
        max_delay: Duration::from_secs(3),
    };
    fixture.faults.inject_at_random(seed, rates);
    let mut writers = JoinSet::new();
    for writer in 0..8_u32 {
        let store = fixture.store.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + u64::from(writer));
        writers.spawn(async move {
            let mut reported = BTreeMap::new();
            for n in 0..40 {
                let shared = format!("shared/{}", rng.random_range(0..6));
                let Ok(read) = store.get(get(&shared)).await else { continue };
                let own = format!("log/{writer}-{n:02}");
                let mut transaction = write(&shared, read.rows[0].version, &own);
                // Two writers may increase this counter to the same value.
                let counter = format!("counter/{}", rng.random_range(0..3));
                let Ok(read) = store.get(get(&counter)).await else { continue };
                let count = read.rows[0].version;
                let counted = write(&counter, count, &count.to_string());
                transaction.conditions.extend(counted.conditions);
                transaction.writes.extend(counted.writes);
                transaction
                    .writes
                    .push(model::TableWrite { key: own.clone(), value: Some(blob(&own)) });
                reported.insert(own, store.transact(transaction).await);
                time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
            }
            reported
        });
    }
    let mut reported = BTreeMap::new();
    while let Some(writer) = writers.join_next().await {
        reported.append(&mut writer.unwrap());
    }
    time::sleep(Duration::from_secs(120)).await;
    let versions = fixture.table.peek("log/").into_iter().map(|it| (it.key, it.version));
    let versions = versions.collect::<BTreeMap<_, _>>();
    let mut n_committed = 0;
    for (own, outcome) in reported {
        let version = versions.get(&own).copied();
        match outcome {
            Ok(model::TableOutcome::Committed { .. }) => {
                n_committed += 1;
                assert_eq!(version, Some(1), "{own} was reported to be committed");
            }
            Ok(model::TableOutcome::Conflict { .. }) => {
                assert_eq!(version, None, "{own} was reported to conflict");
            }
            Err(error) if error.fault.had_no_effect() => {
                assert_eq!(version, None, "{own} was reported {error}");
            }
            Err(_) => assert!(version.is_none_or(|it| it == 1), "{own} was made twice"),
        }
    }
    assert!(0 < n_committed);
}

macro_rules! outcome_tests {
    ($($name:ident: $condition:expr;)*) => {
        $(#[tokio::test(start_paused = true)]
        async fn $name() {
            for seed in 1..=20 {
                check_reported_outcomes(seed, $condition).await;
            }
        })*
    };
}

outcome_tests! {
    reported_outcomes_match_the_table_under_faults: fault::Condition::Up;
    reported_outcomes_match_the_table_while_flapping: fault::Condition::Flapping {
        up: Duration::from_secs(2),
        down: Duration::from_secs(1),
    };
    reported_outcomes_match_the_table_while_slow: fault::Condition::Slow(Duration::from_millis(900));
}
