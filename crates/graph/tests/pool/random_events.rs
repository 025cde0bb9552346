//! Whatever workers and the list of workers say, in whatever order, the scheduler goes on.

use std::time::Duration;

use almondpass_graph::{order, task_key};
use almondpass_schema::model;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support;

/// Cases in CI; `POOL_ODD_CASES` sets another number, `POOL_ODD_SEED` the first seed.
const N_CASES: u64 = 60;

/// Events of one case.
const N_EVENTS: u32 = 600;

const N_WORKERS: usize = 6;
const N_JOBS: u64 = 12;

/// Readings of a clock that no worker should give.
const ODD_CLOCKS: [u64; 5] = [0, 1, u64::MAX / 2, u64::MAX - 1, u64::MAX];

/// A scheduler among workers that answer at random.
struct OddWorld {
    bench: support::PoolBench,
    rng: ChaCha8Rng,
    orders: Vec<order::PoolOrder>,
    n_ends: u64,
}

impl OddWorld {
    fn new(seed: u64) -> OddWorld {
        let mut bench =
            support::PoolBench::with_unanswered_workers(N_WORKERS, Duration::from_secs(1_005));
        for graph in 0..N_JOBS / 4 {
            bench.inherit(graph, support::job(graph as u32 % 3, support::tasks(3)), None);
        }
        let rng = ChaCha8Rng::seed_from_u64(seed);
        OddWorld { bench, rng, orders: Vec::new(), n_ends: 0 }
    }

    fn run(&mut self) {
        for _ in 0..N_EVENTS {
            match self.rng.random_range(0..12) {
                0 => self.admit(),
                1..=3 => self.answer_order(),
                4..=6 => self.answer_look(),
                7 => self.lose_look(),
                8 => self.change_entry(),
                9 => self.pass_time(),
                _ => self.turn(),
            }
        }
    }

    fn admit(&mut self) {
        let step = model::GraphStep {
            gang: self.rng.random_bool(0.3),
            saves: self.rng.random_bool(0.5),
            same_rack: self.rng.random_bool(0.3),
            per_worker: self.rng.random_range(0..3),
            estimate_ms: [0, 1, 2_500, u32::MAX][self.rng.random_range(0..4)],
            accelerators: self.rng.random_range(0..9),
            ..support::tasks(self.rng.random_range(1..6))
        };
        let graph = self.rng.random_range(0..N_JOBS);
        let mut row = support::job(self.rng.random_range(0..3), step);
        row.cancelled = self.rng.random_bool(0.1);
        self.bench.admit(graph, row);
    }

    fn answer_order(&mut self) {
        if self.orders.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.orders.len());
        let (now, clock_ms) = (self.bench.now, self.clock());
        match self.orders.remove(index) {
            order::PoolOrder::Start(start) => {
                let answers = [
                    order::StartAnswer::Started { clock_ms },
                    order::StartAnswer::Refused(order::StartRefusal::Late),
                    order::StartAnswer::Refused(order::StartRefusal::Old),
                    order::StartAnswer::Refused(order::StartRefusal::Unwell),
                    order::StartAnswer::NotSent,
                    order::StartAnswer::Unknown,
                    order::StartAnswer::Replaced,
                ];
                let answer = answers[self.rng.random_range(0..answers.len())];
                self.bench.core.start_answered(&start, answer, now);
            }
            order::PoolOrder::Stop(stop) => {
                let is_acked = self.rng.random_bool(0.7);
                self.bench.core.stop_answered(&stop, is_acked, now);
            }
            order::PoolOrder::Poll { worker } => {
                self.bench.core.next_poll(&worker, now);
            }
        }
    }

    fn answer_look(&mut self) {
        let worker = support::worker_id(self.rng.random_range(0..N_WORKERS));
        let now = self.bench.now;
        self.bench.core.next_poll(&worker, now);
        let listed = order::PollReply {
            incarnation: self.rng.random_bool(0.5).then(|| self.rng.random_range(0..3)),
            clock_ms: self.clock(),
            running: (0..self.rng.random_range(0..4)).map(|_| self.listed_run()).collect(),
            ended: (0..self.rng.random_range(0..3)).map(|_| self.listed_end()).collect(),
            complete: self.rng.random_bool(0.8),
        };
        let sent_at = now.saturating_sub(Duration::from_millis(self.rng.random_range(0..3_000)));
        self.bench.core.poll_answered(&worker, listed, sent_at, now);
    }

    fn lose_look(&mut self) {
        let worker = support::worker_id(self.rng.random_range(0..N_WORKERS));
        self.bench.core.poll_missed(&worker);
    }

    fn change_entry(&mut self) {
        let index = self.rng.random_range(0..N_WORKERS);
        let now = self.bench.now;
        if self.rng.random_bool(0.3) {
            self.bench.core.unlist_worker(&support::worker_id(index), now);
            return;
        }
        let mut listing = support::worker_entry(index);
        let leaves_in = [0, 2_000, u64::MAX][self.rng.random_range(0..3)];
        listing.leaves_in = self.rng.random_bool(0.2).then(|| Duration::from_millis(leaves_in));
        listing.incarnation = self.rng.random_bool(0.5).then(|| self.rng.random_range(0..3));
        listing.capacity.accelerators = self.rng.random_range(0..10);
        self.bench.core.update_worker(support::worker_id(index), listing, now);
    }

    fn pass_time(&mut self) {
        let millis = [10, 400, 1_500, 8_000, 400_000][self.rng.random_range(0..5)];
        self.bench.advance(millis);
        let wall = self.rng.random_range(0..u64::MAX);
        self.bench.core.set_wall_time(Duration::from_millis(wall));
    }

    fn turn(&mut self) {
        self.bench.advance(50);
        let orders = self.bench.run_round();
        self.orders.extend(orders);
        if self.rng.random_bool(0.7) {
            self.bench.save();
        }
    }

    fn clock(&mut self) -> u64 {
        let true_ms = self.bench.now.as_millis() as u64;
        match self.rng.random_range(0..10) {
            0 => ODD_CLOCKS[self.rng.random_range(0..ODD_CLOCKS.len())],
            1 => true_ms.saturating_sub(self.rng.random_range(0..20_000)),
            _ => true_ms,
        }
    }

    /// A run that was ordered, mostly, or one of nobody.
    fn listed_run(&mut self) -> order::ListedRun {
        let known = self.orders.iter().filter_map(|it| match it {
            order::PoolOrder::Start(start) => Some((start.task, start.attempt)),
            _ => None,
        });
        let known = known.collect::<Vec<_>>();
        let is_known = !known.is_empty() && self.rng.random_bool(0.7);
        let (task, attempt) = if is_known {
            known[self.rng.random_range(0..known.len())]
        } else {
            let task = task_key::TaskKey {
                graph: self.rng.random_range(0..2 * N_JOBS),
                occurrence: [0, 1, u32::MAX][self.rng.random_range(0..3)],
                step: [0, 1, u32::MAX][self.rng.random_range(0..3)],
                task: [0, 3, u32::MAX][self.rng.random_range(0..3)],
            };
            (task, self.rng.random_range(0..40))
        };
        let percent = [0, 1, 50, 100, u32::MAX][self.rng.random_range(0..5)];
        order::ListedRun { task, attempt, checkpoint: None, percent }
    }

    fn listed_end(&mut self) -> order::ListedEnd {
        let kinds = [order::EndKind::Done, order::EndKind::Failed, order::EndKind::Lapsed];
        let order::ListedRun { task, attempt, .. } = self.listed_run();
        self.n_ends += 1;
        let number = self.n_ends.saturating_sub(self.rng.random_range(0..3));
        let how = kinds[self.rng.random_range(0..kinds.len())];
        order::ListedEnd { number, task, attempt, how, checkpoint: Some("c".into()) }
    }
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// A panic in a turn gave the tenure up, at each successor anew.
#[test]
fn odd_answers_end_no_tenure() {
    let first = variable("POOL_ODD_SEED").unwrap_or(1);
    let n_cases = variable("POOL_ODD_CASES").unwrap_or(N_CASES);
    for seed in first..first + n_cases {
        println!("odd case {seed}");
        OddWorld::new(seed).run();
    }
}
