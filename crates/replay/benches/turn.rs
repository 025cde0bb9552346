//! One decision and one full turn at the sizes of today and of two years from now.

use almondpass_replay::cost;

fn main() {
    divan::main();
}

/// One end, one arrival and the turn after them.
#[divan::bench(args = 0..cost::SIZES.len())]
fn decision(bencher: divan::Bencher<'_, '_>, size: usize) {
    bench(bencher, size, 1);
}

/// Sixteen ends and arrivals and the turn after them.
#[divan::bench(args = 0..cost::SIZES.len())]
fn full_turn(bencher: divan::Bencher<'_, '_>, size: usize) {
    bench(bencher, size, 16);
}

fn bench(bencher: divan::Bencher<'_, '_>, size: usize, changes: u32) {
    let size = &cost::SIZES[size];
    let mut hall = cost::FullHall::empty(size).expect("a hall that fits");
    hall.fill(size);
    bencher.bench_local(|| hall.busy_turn(changes));
}
