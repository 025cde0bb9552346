//! How long to wait for an answer.

use std::time::Duration;

use almondpass_peer::answer_times;

const MIN: Duration = Duration::from_millis(180);
const MAX: Duration = Duration::from_millis(800);

fn check(answers_ms: &[u64], expected_ms: std::ops::RangeInclusive<u64>) {
    let times = answer_times::AnswerTimes::default();
    answers_ms.iter().for_each(|it| times.observe(Duration::from_millis(*it)));
    let timeout_ms = times.timeout(MIN, MAX).as_millis() as u64;
    assert!(expected_ms.contains(&timeout_ms), "{timeout_ms} ms");
}

macro_rules! waits {
    ($($(#[$doc:meta])* $name:ident: $answers:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { check(&$answers, $expected); })*
    };
}

waits! {
    nothing_is_known_at_first: [] => 180..=180;
    prompt_answers_keep_the_shortest_wait: [3; 40] => 180..=180;
    /// Guards against calls that are sent again while their answers are on the way.
    answers_that_slow_down_lengthen_the_wait: [5, 20, 60, 110, 150, 170, 175] => 300..=800;
    the_wait_has_an_upper_bound: [700; 10] => 800..=800;
    the_wait_falls_with_the_answers: [vec![400; 10], vec![4; 60]].concat() => 180..=180;
}
