//! Tests of the places and the memory of connections: what gives way, and what never does.

use std::sync::Arc;

use almondpass_peer::connection_slot::{ConnectionSlot, RequestGuard};
use almondpass_peer::connection_table::{self, ConnectionTable, GaveWay};
use futures_util::FutureExt;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Memory for bodies in these tests, in bytes.
const MEMORY: usize = 8 << 10;

fn table(max_connections: usize) -> Arc<ConnectionTable> {
    let limits = connection_table::TableLimits { max_connections, max_body_memory: MEMORY };
    ConnectionTable::new(limits, "test")
}

fn admit(table: &Arc<ConnectionTable>) -> Option<ConnectionSlot> {
    table.admit().now_or_never()
}

/// A request of which `n_bytes` have arrived.
struct PartialRequest {
    slot: ConnectionSlot,
    _guard: RequestGuard,
}

impl PartialRequest {
    fn new(table: &Arc<ConnectionTable>, n_bytes: usize) -> PartialRequest {
        let slot = admit(table).expect("a place");
        let guard = slot.begin_request().expect("an open connection");
        slot.begin_body();
        slot.append(&vec![0; n_bytes], n_bytes).expect("memory");
        PartialRequest { slot, _guard: guard }
    }

    fn has_given_way(&self) -> bool {
        self.slot.refused().now_or_never().is_some()
    }
}

/// Guards against silent connections that keep out a caller who has a request.
#[test]
fn the_connection_that_has_waited_longest_gives_way() {
    let table = table(2);
    let (first, second) = (admit(&table).unwrap(), admit(&table).unwrap());
    drop(first.begin_request());
    assert!(admit(&table).is_none(), "the place is taken until the connection ends");
    assert!(second.closed().now_or_never().is_some());
    assert!(first.closed().now_or_never().is_none());
    drop(second);
    assert!(admit(&table).is_some());
}

/// Guards against a request that is taken from a connection which is being closed, and so gets no answer.
#[test]
fn no_request_begins_on_a_connection_that_gave_way() {
    let table = table(1);
    let first = admit(&table).unwrap();
    assert!(admit(&table).is_none());
    assert!(first.begin_request().is_none());
}

/// Guards against more connections that are closed than new ones come, while the first is still ending.
#[test]
fn one_connection_gives_way_at_a_time() {
    let table = table(2);
    let (first, second) = (admit(&table).unwrap(), admit(&table).unwrap());
    assert!(admit(&table).is_none());
    assert!(admit(&table).is_none());
    assert!(first.closed().now_or_never().is_some());
    assert!(second.closed().now_or_never().is_none());
}

/// Guards against a request that may have taken effect and gets no answer, since its place was needed.
#[test]
fn a_request_that_is_handled_keeps_its_place() {
    let table = table(1);
    let first = admit(&table).unwrap();
    let guard = first.begin_request().unwrap();
    assert!(admit(&table).is_none());
    assert!(first.closed().now_or_never().is_none());
    drop(guard);
    assert!(admit(&table).is_none());
    assert!(first.closed().now_or_never().is_some());
}

/// Guards against requests that run on after their clients have gone, and that no place is counted for.
#[test]
fn a_request_keeps_its_place_when_its_connection_ends() {
    let table = table(1);
    let first = admit(&table).unwrap();
    let guard = first.begin_request().unwrap();
    drop(first);
    assert!(admit(&table).is_none());
    drop(guard);
    assert!(admit(&table).is_some());
}

/// Guards against unfinished bodies that hold all places.
#[test]
fn the_body_that_has_been_arriving_for_longest_gives_way_to_a_connection() {
    let table = table(2);
    let (first, second) = (PartialRequest::new(&table, 10), PartialRequest::new(&table, 10));
    first.slot.append(b"more", 20).unwrap();
    assert!(admit(&table).is_none());
    assert!(first.has_given_way() && !second.has_given_way());
}

/// Guards against small requests that are refused because large ones have taken the memory.
#[test]
fn the_largest_body_gives_way_to_a_smaller_one() {
    let table = table(9);
    let (large, small) = (PartialRequest::new(&table, 6_000), PartialRequest::new(&table, 2_000));
    let newcomer = PartialRequest::new(&table, 1_000);
    assert!(large.has_given_way() && !small.has_given_way() && !newcomer.has_given_way());
    assert_eq!(table.n_bytes(), 3_000);
    assert_eq!(large.slot.append(b"more", 6_004), Err(GaveWay));
    assert_eq!(large.slot.finish_body(), Err(GaveWay));
}

/// Guards against bodies that stop just short of their end and keep their memory from those that go on.
#[test]
fn of_equal_bodies_that_which_stands_still_gives_way() {
    let table = table(9);
    let (first, second) = (PartialRequest::new(&table, 4_000), PartialRequest::new(&table, 4_000));
    first.slot.append(&[], 4_000).unwrap();
    let newcomer = PartialRequest::new(&table, 4_000);
    assert!(second.has_given_way() && !first.has_given_way() && !newcomer.has_given_way());
}

/// Guards against a large body that takes the memory of smaller ones.
#[test]
fn a_body_larger_than_all_others_gives_way_itself() {
    let table = table(9);
    let (first, second) = (PartialRequest::new(&table, 4_000), PartialRequest::new(&table, 3_000));
    let large = PartialRequest::new(&table, 0);
    assert_eq!(large.slot.append(&[0; 6_000], 6_000), Err(GaveWay));
    assert!(!first.has_given_way() && !second.has_given_way());
    assert_eq!(table.n_bytes(), 7_000);
}

/// Guards against a limit that a single body of legal size meets.
#[test]
fn a_single_body_may_be_larger_than_the_memory() {
    let table = table(9);
    let request = PartialRequest::new(&table, 3 * MEMORY);
    assert_eq!(request.slot.finish_body().map(|it| it.len()), Ok(3 * MEMORY));
}

/// Guards against requests that were read whole and are refused since bodies that may never be whole have the
/// memory.
#[test]
fn bodies_that_are_not_whole_give_way_to_a_request_that_is() {
    let table = table(9);
    let (whole, partial) = (PartialRequest::new(&table, 500), PartialRequest::new(&table, 1_000));
    whole.slot.finish_body().unwrap();
    assert_eq!(whole.slot.hold(MEMORY), Ok(()));
    assert!(partial.has_given_way() && !whole.has_given_way());
}

/// Guards against a request that is handled beyond the memory, or loses what it has when it asks for more.
#[test]
fn a_request_that_is_whole_is_refused_beside_others_that_are() {
    let table = table(9);
    let (first, second) = (PartialRequest::new(&table, 5_000), PartialRequest::new(&table, 1_000));
    first.slot.finish_body().unwrap();
    second.slot.finish_body().unwrap();
    assert_eq!(second.slot.hold(4_000), Err(GaveWay));
    assert_eq!(table.n_bytes(), 6_000);
    assert_eq!(second.slot.hold(3_000), Ok(()));
}

/// Guards against memory that counts on after its request has ended.
#[test]
fn the_memory_of_a_request_is_free_when_it_ends() {
    let table = table(9);
    let (whole, partial) = (PartialRequest::new(&table, 500), PartialRequest::new(&table, 500));
    whole.slot.finish_body().unwrap();
    drop((whole, partial));
    assert_eq!(table.n_bytes(), 0);
}

macro_rules! random_crowds {
    ($($name:ident: $seed:literal;)*) => {
        $(#[test]
        fn $name() {
            check_random_crowd($seed);
        })*
    };
}

random_crowds! {
    random_crowd_1: 681;
    random_crowd_2: 682;
    random_crowd_3: 683;
    random_crowd_4: 684;
}

/// Takes random steps, and checks after each that the limits hold and that what was read whole is kept.
fn check_random_crowd(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let max_connections = rng.random_range(1..20);
    let table = table(max_connections);
    let mut requests = Vec::<(PartialRequest, bool)>::new();
    for _ in 0..5_000 {
        match rng.random_range(0..10) {
            0..=3 => {
                if let Some(slot) = admit(&table) {
                    let guard = slot.begin_request().expect("a new connection is open");
                    slot.begin_body();
                    requests.push((PartialRequest { slot, _guard: guard }, false));
                }
            }
            4..=6 => {
                let Some((request, is_whole)) = requests.choose(&mut rng) else { continue };
                if !is_whole {
                    let data = vec![0; rng.random_range(0..3_000)];
                    let _ = request.slot.append(&data, 1 << 20);
                }
            }
            7 => {
                let Some(number) =
                    (0..requests.len()).collect::<Vec<_>>().choose(&mut rng).copied()
                else {
                    continue;
                };
                let (request, is_whole) = &mut requests[number];
                if !*is_whole && request.slot.finish_body().is_ok() {
                    *is_whole = true;
                    let _ = request.slot.hold(rng.random_range(0..4_000));
                }
            }
            _ if !requests.is_empty() => {
                let number = rng.random_range(0..requests.len());
                requests.swap_remove(number);
            }
            _ => {}
        }
        for (request, is_whole) in &requests {
            assert!(!(*is_whole && request.has_given_way()), "a whole request gave way");
        }
        requests.retain(|(request, _)| !request.has_given_way());
        assert!(requests.len() <= max_connections);
        let n_held = table.n_bytes();
        assert!(n_held <= MEMORY || table.n_requests_with_memory() == 1, "{n_held} bytes are held");
    }
    drop(requests);
    assert_eq!(table.n_bytes(), 0);
}
