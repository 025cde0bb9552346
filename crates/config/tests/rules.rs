//! What operators read when a document is wrong: every fault at once, with path, expected, found.

use almondpass_config::{document, settings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LABORATORIES: &str = include_str!("../../../examples/laboratories.config.yaml");

/// Replaces parts of the Laboratories' example and returns what the check says.
fn faults_after(edits: &[(&str, &str)]) -> String {
    let mut text = LABORATORIES.to_owned();
    for (from, to) in edits {
        assert!(text.contains(from), "the example has no {from:?}");
        text = text.replacen(from, to, 1);
    }
    document::check("site.yaml", &text).expect_err("expected faults").to_string()
}

#[test]
fn jobs_dropped_before_their_keys() {
    // Symptom: a job that must run once runs a second time.
    // Sequence: a job ends, its row is dropped after `job_retention`, and its caller, which never
    // got the answer, submits it again under the same key within `idempotency_window`.
    // Cause: the row is the record of the key; without it the key is accepted as a new one.
    for (retention, holds) in [("1day", true), ("23h 59m 59s", false), ("1h", false)] {
        let text = LABORATORIES.replacen(
            "job_retention: 7days",
            &format!("job_retention: {retention}"),
            1,
        );
        let checked = document::check("site.yaml", &text).map_err(|it| it.to_string());
        assert_eq!(checked.is_ok(), holds, "{retention}: {checked:?}");
    }
}

macro_rules! faults {
    ($($name:ident: $($from:literal => $to:literal),+;)*) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), faults_after(&[$(($from, $to)),+]));
        })*
    };
}

faults! {
    schema_faults_come_all_at_once:
        "site: laboratories" => "sites: laboratories",
        "priority: 9" => "priority: high",
        "kind: request" => "kind: requests",
        "reclaim: 30s" => "reclaim: soon";
    key_that_stands_twice:
        "site: laboratories" => "site: laboratories\nsite: laboratory";
    number_beyond_its_type:
        "queued_jobs: 2000" => "queued_jobs: 5000000000";
    weights_and_bounds:
        "completion_time: 0.35" => "completion_time: 0.5",
        "checkpoint_grace: 10s" => "checkpoint_grace: 30s",
        "urgent_start: 2s" => "urgent_start: 2h",
        "overrun: 1.5" => "overrun: 0.5",
        "idempotency_window: 1day" => "idempotency_window: 1m";
    job_rows_that_go_before_their_keys:
        "job_retention: 7days" => "job_retention: 23h";
    names_that_resolve_to_nothing:
        "kind: standard" => "kind: large",
        "halls: [vadodara, rajkot, bharuch]" => "halls: [vadodara, surat]",
        "upstream: oil-analysis" => "upstream: oil",
        "hall: rajkot" => "hall: surat";
    names_that_are_misspelt_or_stand_twice:
        "- name: vadodara" => "- name: vadodara/1",
        "name: report-check" => "name: diagnosis",
        "id: girnar-discom" => "id: gujarat-grid",
        "name: r2" => "name: r1";
    classes:
        "priority: 9" => "priority: 10",
        "expected_run: 2s" => "expected_run: 2m",
        "accelerators: 1" => "accelerators: 9",
        "memory_mb: 2048" => "memory_mb: 70000",
        "urgent: true" => "urgent: true\n  checkpoint: true";
    accounts:
        "keys: [" => "keys: [my-key-in-clear, ",
        "accelerators: 160" => "accelerators: 10",
        "running_requests: 512" => "running_requests: 0";
    guarantees_that_fit_nowhere:
        "{name: ageing, accelerators: 64, adjacency: rack}" => "{name: ageing, accelerators: 65, adjacency: rack}",
        "{name: diagnosis, accelerators: 8, adjacency: worker}" => "{name: diagnosis, accelerators: 9, adjacency: worker}";
    guarantees_that_do_not_fit_together:
        "{name: ageing, accelerators: 64, adjacency: rack}" => "{name: ageing, accelerators: 128, adjacency: hall}",
        "{name: ageing, accelerators: 32, adjacency: rack}" => "{name: ageing, accelerators: 128, adjacency: hall}",
        "{name: diagnosis, accelerators: 16, adjacency: rack, hall: rajkot}" => "{name: diagnosis, accelerators: 128, adjacency: hall}",
        "queued_requests: 256, accelerators: 64}" => "queued_requests: 256}";
    guarantees_that_no_order_of_blocks_fits:
        "hall: bharuch" => "hall: rajkot",
        "{name: diagnosis, accelerators: 16, adjacency: rack, hall: rajkot}" => "{name: diagnosis, accelerators: 64, adjacency: rack, hall: rajkot}",
        "limits: {queued_jobs: 200, running_requests: 64, queued_requests: 256, accelerators: 64}" => "limits: {queued_jobs: 200, running_requests: 64, queued_requests: 256}",
        "{name: ageing, accelerators: 64, adjacency: rack}" => "{name: ageing, accelerators: 60, adjacency: rack, hall: rajkot}";
    halls_of_absurd_size:
        "workers: 8" => "workers: 4000000000",
        "accelerators: 8, slots" => "accelerators: 4000000000, slots";
    drains:
        "accounts:" => "drains:\n- {since: 2026-12-02T18:00:00Z}\n- {worker: rajkot-r1-08, since: 2026-12-02T18:00:00Z}\n- {worker: rajkot-r1-9, since: 2026-12-02T18:00:00Z}\n- {worker: rajkot-r1-08, since: 2026-12-02T19:00:00Z}\naccounts:";
    worker_names_that_two_racks_would_give:
        "- name: rajkot" => "- name: vadodara-r1",
        "halls: [vadodara, rajkot, bharuch]" => "halls: [vadodara]",
        "{name: r1, workers: 8, kind: standard}" => "{name: r1-r2, workers: 8, kind: standard}",
        "hall: rajkot" => "hall: vadodara";
}

#[test]
fn document_beyond_the_size_limit() {
    let text = format!("{LABORATORIES}# {}", "x".repeat(document::MAX_DOCUMENT_BYTES));
    let faults = document::check("site.yaml", &text).unwrap_err().to_string();
    assert!(faults.contains("expected at most 524288 bytes"), "{faults}");
}

#[test]
fn aliases_that_multiply_are_refused() {
    // Symptom: the process runs out of memory while it reads a small document.
    // Sequence: an operator sends YAML whose aliases name lists of aliases, nine deep.
    // Cause: each alias is expanded where it stands.
    let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n".to_owned();
    for depth in 1..12 {
        let inner = format!("*a{}", depth - 1);
        let items = vec![inner; 9].join(", ");
        text.push_str(&format!("a{depth}: &a{depth} [{items}]\n"));
    }
    let faults = document::check("site.yaml", &text).unwrap_err().to_string();
    assert!(faults.contains("repetition limit"), "{faults}");
}

#[test]
fn documents_with_slips_of_the_pen_are_answered() {
    // Symptom: the check ends the process or does not end.
    // Sequence: an operator checks a document with lines lost, doubled or changed.
    // Cause: a rule relies on another one that has failed.
    let n_cases = std::env::var("ALMONDPASS_FUZZ_CASES").map_or(400, |it| it.parse().unwrap());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut n_right = 0;
    for _ in 0..n_cases {
        let mut lines = LABORATORIES.lines().map(str::to_owned).collect::<Vec<_>>();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..lines.len());
            match rng.random_range(0..4) {
                0 => drop(lines.remove(index)),
                1 => lines.insert(index, lines[rng.random_range(0..lines.len())].clone()),
                2 => lines[index] = lines[index].replace(['1', '2', '8'], "4294967295"),
                _ => lines[index] = lines[index].replace(['e', ':'], "0"),
            }
        }
        n_right += u32::from(document::check("site.yaml", &lines.join("\n")).is_ok());
    }
    assert!(0 < n_right && n_right < n_cases, "{n_right} of {n_cases} documents are right");
}

#[test]
fn settings_name_file_path_expected_and_found() {
    let text = "
data_center: vadodara
listen: {callers: 127.0.0.1:8080, operators: 127.0.0.1:8081}
advertise: 127.0.0.1:8082
platform: {table: 127.0.0.1:9000, objects: 127.0.0.1:9000, instances: 127.0.0.1:9000}
cluster_key_file: key
operators: []
timing: {beat: fast}
colour: green
";
    let faults = settings::check("almondpass.yaml", text).unwrap_err().to_string();
    insta::assert_snapshot!("settings", faults);
}
