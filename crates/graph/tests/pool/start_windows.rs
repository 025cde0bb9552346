//! The number of starts in transit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use almondpass_graph::order;
use almondpass_schema::ids;

use crate::support;

/// Time within which a start has to be answered for its sender not to send it again.
const ANSWER_LIMIT: Duration = Duration::from_millis(700);

/// Interval between two rounds.
const ROUND_MS: u64 = 20;

/// Rounds between two polls of a worker.
const ROUNDS_PER_POLL: u64 = 25;

const N_WORKERS: usize = 96;

/// A link that carries a bounded number of starts a second, one after the other.
struct StartLink {
    carries_one_in: Duration,
    queue: VecDeque<(Duration, order::StartOrder)>,
    free_at: Duration,
    n_answered: u32,
    n_unanswered: u32,
    runs: BTreeMap<ids::WorkerId, Vec<order::ListedRun>>,
}

impl StartLink {
    fn new(per_second: u32) -> StartLink {
        StartLink {
            carries_one_in: Duration::from_secs(1) / per_second,
            queue: VecDeque::new(),
            free_at: Duration::ZERO,
            n_answered: 0,
            n_unanswered: 0,
            runs: BTreeMap::new(),
        }
    }

    fn send(&mut self, starts: Vec<order::StartOrder>, now: Duration) {
        for start in starts {
            self.free_at = self.free_at.max(now) + self.carries_one_in;
            self.queue.push_back((self.free_at, start));
        }
    }

    /// Answers what has passed the link. A start that took too long has lost its answer.
    fn deliver(&mut self, bench: &mut support::PoolBench) {
        while let Some((arrives_at, start)) = self.queue.pop_front_if(|it| it.0 <= bench.now) {
            let runs = self.runs.entry(start.worker.clone()).or_default();
            runs.push(support::listed_run(&start, 1));
            if arrives_at <= start.ordered_at + ANSWER_LIMIT {
                self.n_answered += 1;
                bench.confirm_start(&start);
            } else {
                self.n_unanswered += 1;
                bench.core.start_answered(&start, order::StartAnswer::Unknown, bench.now);
            }
        }
    }

    fn answer_polls(&self, bench: &mut support::PoolBench) {
        for worker in 0..N_WORKERS {
            let runs = self.runs.get(&support::worker_id(worker));
            bench.answer_poll(worker, runs.map_or(&[], Vec::as_slice), &[]);
        }
    }
}

/// Plays `seconds` of a full queue over a link that carries `per_second` starts.
fn play(per_second: u32, seconds: u64) -> StartLink {
    let mut bench = support::PoolBench::new(N_WORKERS);
    let mut link = StartLink::new(per_second);
    for graph in 1..=12 {
        bench.admit(graph, support::job(1, support::tasks(50)));
    }
    for round in 0..seconds * 1_000 / ROUND_MS {
        if round % ROUNDS_PER_POLL == 0 {
            link.answer_polls(&mut bench);
        }
        link.deliver(&mut bench);
        let starts = support::starts(&bench.run_round());
        link.send(starts, bench.now);
        bench.advance(ROUND_MS);
    }
    link
}

/// Checks that a fifth of the starts at most has no answer in time, and that `min_answered` have one.
fn check(per_second: u32, min_answered: u32) {
    let link = play(per_second, 8);
    let n_sent = link.n_answered + link.n_unanswered;
    assert!(link.n_unanswered * 5 <= n_sent, "{} of {n_sent} without answer", link.n_unanswered);
    assert!(link.n_answered >= min_answered, "{} answered", link.n_answered);
}

macro_rules! links {
    ($($(#[$doc:meta])* $name:ident: $per_second:expr, $min_answered:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check($per_second, $min_answered); })*
    };
}

links! {
    /// Guards against starts that are all answered too late, as more are sent at a time than the link carries.
    a_slow_link_carries_starts_in_time: 60, 240;
    /// Guards against a limit that stays low although everything is answered at once.
    a_fast_link_starts_everything: 5_000, 600;
}
