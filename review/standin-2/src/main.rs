//! Plays a case of the second review: `review-standin-2 CASE FOLDER ROOT`.
//!
//! Writes `record.txt` into FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run. With `TROUBLE=0` the disruption is left out.

mod base64;
mod cases;
mod fleet;
mod http;
mod nodes;
mod record;
mod site;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, panic, thread};

/// A case ends by itself before this; otherwise it counts as one that couldn't run.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments = env::args().skip(1).collect::<Vec<_>>();
    let [case, folder, root] = arguments.as_slice() else {
        eprintln!("expected CASE FOLDER ROOT");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let root = fs::canonicalize(root).expect("the root of the repository");
    let scratch = env::temp_dir().join(format!("review-case-{}", std::process::id()));
    let with_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = play(case.clone(), root, scratch.clone(), with_trouble);
    if env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    }
    finish(&folder, outcome)
}

/// What a case found, with its record.
pub struct Verdict {
    pub record: String,
    /// How the rule was broken; empty if it held.
    pub broken: Vec<String>,
}

/// Plays a case in a thread of its own, so that one that hangs or panics ends with all its processes.
fn play(case: String, root: PathBuf, scratch: PathBuf, with_trouble: bool) -> Option<Verdict> {
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let played = panic::catch_unwind(panic::AssertUnwindSafe(|| {
            cases::play(&case, &root, &scratch, with_trouble)
        }));
        let _ = sender.send(played.ok().flatten());
    });
    let verdict = receiver.recv_timeout(TIME_LIMIT).ok().flatten();
    if verdict.is_none() {
        nodes::kill_all();
    }
    verdict
}

fn finish(folder: &Path, outcome: Option<Verdict>) -> ExitCode {
    let Some(verdict) = outcome else {
        eprintln!("the case couldn't run");
        return ExitCode::from(2);
    };
    let mut text = verdict.record;
    for it in &verdict.broken {
        text += &format!("BROKEN: {it}\n");
    }
    if verdict.broken.is_empty() {
        text += "the rule held\n";
    }
    fs::write(folder.join("record.txt"), text).expect("write record.txt");
    verdict.broken.iter().take(3).for_each(|it| println!("broken: {it}"));
    if verdict.broken.is_empty() {
        println!("the rule held");
    }
    ExitCode::from(u8::from(!verdict.broken.is_empty()))
}
