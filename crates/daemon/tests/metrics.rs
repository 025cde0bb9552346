//! docs/METRICS.md names every metric that the code emits, and no other.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// Sources of an instance, on a site of ours and on the users' platform.
const SOURCES: [&str; 11] = [
    "crates/config",
    "crates/console",
    "crates/daemon",
    "crates/entry",
    "crates/graph",
    "crates/hall",
    "crates/membership",
    "crates/peer",
    "crates/pool",
    "crates/ports",
    "platform",
];

#[test]
fn the_page_names_each_metric_and_no_other() {
    let mut emitted = BTreeSet::new();
    for name in SOURCES {
        collect(&Path::new(ROOT).join(name).join("src"), &mut emitted);
    }
    let page = fs::read_to_string(Path::new(ROOT).join("docs/METRICS.md")).expect("the page");
    let listed = page
        .lines()
        .filter(|it| it.starts_with("| `almondpass_"))
        .flat_map(|line| names(line.split('|').nth(1).unwrap_or_default(), '`'))
        .collect::<BTreeSet<_>>();
    assert_eq!(listed, emitted);
}

fn collect(directory: &Path, emitted: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        // The demo reads metrics, it has none of its own.
        if path.is_dir() && !path.ends_with("demo") {
            collect(&path, emitted);
        } else if path.extension().is_some_and(|it| it == "rs") {
            emitted.extend(names(&fs::read_to_string(&path).expect("a source file"), '"'));
        }
    }
}

/// Names in quotes that begin as those of metrics do.
fn names(text: &str, quote: char) -> Vec<String> {
    let words = text.split(quote).filter(|it| it.starts_with("almondpass_"));
    let metric = |it: &&str| it.chars().all(|c| c == '_' || c.is_ascii_lowercase());
    words.filter(metric).map(str::to_owned).collect()
}
