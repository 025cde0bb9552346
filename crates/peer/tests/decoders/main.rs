//! Every message that is read from a socket, against bytes that no honest peer sends.
//!
//! `ALMONDPASS_FUZZ_CASES=1000000 cargo test --release -p almondpass-peer --test decoders` runs
//! for longer.

mod generator;

use std::fmt::Debug;
use std::hint;

use almondpass_peer::{call, codec};
use almondpass_schema::model;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Cases for each message by default.
const CASES: u64 = 300;

/// Most bytes that one mutation adds.
const LONGEST_GARBAGE: usize = 64;

/// First bytes of lists, maps, strings and runs of bytes that claim 4 GiB of content.
const HUGE_CLAIMS: [&[u8]; 4] = [
    b"\xdd\xff\xff\xff\xff",
    b"\xdf\xff\xff\xff\xff",
    b"\xdb\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
];

/// Draws of one message; each fails by a bound seldom.
const MOST_DRAWS: u32 = 16;

fn n_cases() -> u64 {
    let cases = std::env::var("ALMONDPASS_FUZZ_CASES").ok();
    cases.map_or(CASES, |it| it.parse().expect("ALMONDPASS_FUZZ_CASES is a number"))
}

/// A random message. The generator knows types, not their bounds, such as that of a number that is
/// never zero: what breaks one is drawn again.
fn generate<M: DeserializeOwned>(rng: &mut ChaCha8Rng) -> M {
    let draw = |_| M::deserialize(generator::ValueGenerator { rng, depth: 0 }).ok();
    (0..MOST_DRAWS).find_map(draw).expect("a generated message")
}

/// What was written is read back, and nothing that is read panics, claims memory that the message
/// does not have, or comes out different when written again.
fn check<M: Clone + Debug + PartialEq + Serialize + DeserializeOwned>(name: &str) {
    let mut read = 0;
    for seed in 0..n_cases() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let message = generate::<M>(&mut rng);
        let bytes = codec::encode(&message).expect("a written message");
        let back = codec::decode::<M>(&bytes).unwrap_or_else(|it| panic!("{name} {seed}: {it}"));
        assert_eq!(back, message, "{name} {seed}");
        let mutated = mutate(&bytes, &mut rng);
        if let Ok(odd) = codec::decode::<M>(&mutated) {
            read += 1;
            let again = codec::encode(&odd).expect("a message that was read is written");
            let again = codec::decode::<M>(&again).expect("and read again");
            assert_eq!(format!("{again:?}"), format!("{odd:?}"), "{name} {seed}");
        }
    }
    for claim in HUGE_CLAIMS {
        let _ = hint::black_box(codec::decode::<M>(claim));
    }
    // Mutations that never leave a readable message would test the first bytes only.
    assert!(0 < read, "{name}");
}

fn mutate(bytes: &[u8], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..rng.random_range(1..=3) {
        let at = rng.random_range(0..=bytes.len());
        match rng.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => {
                let n = rng.random_range(0..LONGEST_GARBAGE);
                bytes.splice(at..at, (0..n).map(|_| rng.random::<u8>()));
            }
            2 => {
                let end = (at + rng.random_range(0..8)).min(bytes.len());
                bytes.drain(at..end);
            }
            3 => {
                let claim = HUGE_CLAIMS[rng.random_range(0..HUGE_CLAIMS.len())];
                bytes.splice(at..at, claim.iter().copied());
            }
            _ => {
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 1 << rng.random_range(0..8);
                }
            }
        }
    }
    bytes
}

fn check_call<C: call::PeerCall + PartialEq>()
where
    C::Reply: PartialEq,
{
    check::<C>(C::PATH);
    check::<C::Reply>(C::PATH);
}

macro_rules! calls {
    ($($name:ident: $($call:ident)*;)*) => {
        $(#[test]
        fn $name() {
            $(check_call::<model::$call>();)*
        })*

        /// Every call that stands in the schema's list is among those above.
        #[test]
        fn no_call_is_missing() {
            let mut fuzzed = vec![$($(<model::$call as call::PeerCall>::PATH,)*)*];
            let mut known = [call::PLATFORM_PATHS, call::INSTANCE_PATHS].concat();
            fuzzed.sort_unstable();
            known.sort_unstable();
            assert_eq!(fuzzed, known);
        }
    };
}

macro_rules! rows {
    ($($name:ident: $row:ident;)*) => {
        $(#[test]
        fn $name() {
            check::<model::$row>(stringify!($row));
        })*
    };
}

calls! {
    table: TableTransaction TableGet TableScan;
    objects: ObjectPut ObjectGet ObjectList;
    instances: InstanceQuery;
    worker: LeaseReserve TaskStart LeaseRenew TaskSignal LeaseRelease LeaseList;
    peers: PeerBeat ConfigFetch HandOver DocumentPull;
    pools: GraphNudge GraphQuery GraphSubmit GraphCancel GraphLook BacklogQuery TenureQuery;
    halls: GrantRequest GrantReturns GrantReport JobSubmit JobQuery JobCancel HallQuery;
}

rows! {
    job_row: JobRecord;
    config_row: ConfigRow;
    config_head_row: ConfigHead;
    scheduler_row: SchedulerRow;
    tenure_row: TenureRow;
    commit_row: CommitRow;
    intent_batch: IntentBatch;
    intent_floor: IntentFloor;
}
