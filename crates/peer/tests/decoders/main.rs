//! Fuzz tests of the decoding of all messages and rows that are read from sockets, with corrupted bytes.
//!
//! `ALMONDPASS_FUZZ_CASES=1000000 cargo test --release -p almondpass-peer --test decoders` runs more
//! cases for each message.

mod generator;

use std::fmt::Debug;
use std::hint;

use almondpass_peer::{call, codec};
use almondpass_schema::model;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Cases for each message if `ALMONDPASS_FUZZ_CASES` is not set.
const DEFAULT_CASES: u64 = 300;

/// Exclusive upper limit of the random bytes that one mutation inserts.
const MAX_GARBAGE_BYTES: usize = 64;

/// MessagePack headers of an array, a map, a string and a byte string with a length of 2^32 - 1.
const OVERSIZED_LENGTHS: [&[u8]; 4] = [
    b"\xdd\xff\xff\xff\xff",
    b"\xdf\xff\xff\xff\xff",
    b"\xdb\xff\xff\xff\xff",
    b"\xc6\xff\xff\xff\xff",
];

/// Most attempts to generate one message; an attempt seldom violates a bound of a field.
const MAX_DRAWS: u32 = 16;

fn n_cases() -> u64 {
    let cases = std::env::var("ALMONDPASS_FUZZ_CASES").ok();
    cases.map_or(DEFAULT_CASES, |it| it.parse().expect("ALMONDPASS_FUZZ_CASES is a number"))
}

/// Generates a random message. The generator knows the types of fields but not their bounds, such as a
/// number that must not be zero; a message that violates a bound is generated again.
fn generate<M: DeserializeOwned>(rng: &mut ChaCha8Rng) -> M {
    let draw = |_| M::deserialize(generator::ValueGenerator { rng, depth: 0 }).ok();
    (0..MAX_DRAWS).find_map(draw).expect("a generated message")
}

/// Checks that an encoded message decodes to the same message, and that decoding corrupted bytes neither
/// panics nor allocates memory for content that the bytes don't have. A corrupted message that is accepted
/// must survive encoding and decoding unchanged.
fn check_round_trip<M: Clone + Debug + PartialEq + Serialize + DeserializeOwned>(name: &str) {
    let mut n_accepted = 0;
    for seed in 0..n_cases() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let message = generate::<M>(&mut rng);
        let bytes = codec::encode(&message).expect("a written message");
        let decoded = codec::decode::<M>(&bytes).unwrap_or_else(|it| panic!("{name} {seed}: {it}"));
        assert_eq!(decoded, message, "{name} {seed}");
        let mutated = mutate(&bytes, &mut rng);
        if let Ok(accepted) = codec::decode::<M>(&mutated) {
            n_accepted += 1;
            let encoded = codec::encode(&accepted).expect("a message that was read is written");
            let decoded_again = codec::decode::<M>(&encoded).expect("and read again");
            assert_eq!(format!("{decoded_again:?}"), format!("{accepted:?}"), "{name} {seed}");
        }
    }
    for oversized_length in OVERSIZED_LENGTHS {
        let _ = hint::black_box(codec::decode::<M>(oversized_length));
    }
    // If no mutated message were accepted, the test would exercise only the first bytes of messages.
    assert!(0 < n_accepted, "{name}");
}

fn mutate(bytes: &[u8], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..rng.random_range(1..=3) {
        let position = rng.random_range(0..=bytes.len());
        match rng.random_range(0..5) {
            0 => bytes.truncate(position),
            1 => {
                let n = rng.random_range(0..MAX_GARBAGE_BYTES);
                bytes.splice(position..position, (0..n).map(|_| rng.random::<u8>()));
            }
            2 => {
                let end = (position + rng.random_range(0..8)).min(bytes.len());
                bytes.drain(position..end);
            }
            3 => {
                let oversized_length =
                    OVERSIZED_LENGTHS[rng.random_range(0..OVERSIZED_LENGTHS.len())];
                bytes.splice(position..position, oversized_length.iter().copied());
            }
            _ => {
                if let Some(byte) = bytes.get_mut(position) {
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
    check_round_trip::<C>(C::PATH);
    check_round_trip::<C::Reply>(C::PATH);
}

macro_rules! calls {
    ($($name:ident: $($call:ident)*;)*) => {
        $(#[test]
        fn $name() {
            $(check_call::<model::$call>();)*
        })*

        /// Guards against a new call in the path lists that these tests don't cover.
        #[test]
        fn every_call_is_fuzzed() {
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
            check_round_trip::<model::$row>(stringify!($row));
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
