//! Keys of the scheduler's rows in the table service and of its objects in the object store.

use almondpass_schema::{ids, time};

/// Row that names the current scheduler of a hall.
pub fn scheduler(hall: &str) -> ids::RowKey {
    format!("scheduler/{hall}")
}

/// Row that changes only with the tenure of a hall; the holder's writes are conditional on it.
pub fn tenure(hall: &str) -> ids::RowKey {
    format!("scheduler-epoch/{hall}")
}

/// Row with the number of the newest accepted configuration.
pub fn config_head() -> ids::RowKey {
    "config-head".to_owned()
}

/// Row that every commit of a hall's jobs writes.
pub fn commit(hall: &str) -> ids::RowKey {
    format!("commit/{hall}")
}

/// Row of one configuration version; the number is padded so that keys sort by it.
pub fn config_version(version: ids::ConfigVersion) -> ids::RowKey {
    format!("config/{version:012}")
}

/// Prefix of the rows of an account's jobs, in order of submission.
pub fn account_jobs(account: &str) -> ids::RowKey {
    format!("job/{account}/")
}

/// Row of a job.
pub fn job(account: &str, job: &ids::JobId) -> ids::RowKey {
    format!("job/{account}/{job}")
}

/// Prefix of the rows that index a hall's unfinished jobs.
pub fn hall_jobs(hall: &str) -> ids::RowKey {
    format!("hall-job/{hall}/")
}

/// Row that indexes one unfinished job of a hall; its value is the account's name.
pub fn hall_job(hall: &str, job: &ids::JobId) -> ids::RowKey {
    format!("hall-job/{hall}/{job}")
}

/// Prefix of the rows that index a hall's ended jobs in the order in which they ended.
pub fn ended_jobs(hall: &str) -> ids::RowKey {
    format!("ended-job/{hall}/")
}

/// Row that indexes one ended job of a hall until it is dropped; its value is the account's name.
pub fn ended_job(hall: &str, ended_at: time::WallTime, job: &ids::JobId) -> ids::RowKey {
    format!("ended-job/{hall}/{:018}/{job}", ended_at.0.as_micros())
}

/// Row with the start of the part of a hall's intent log that is still needed.
pub fn intent_floor(hall: &str) -> ids::RowKey {
    format!("intent-floor/{hall}")
}

/// Prefix of the batches of a hall's intent log, both in the table and in the object store.
pub fn intent_log(hall: &str) -> ids::RowKey {
    format!("intent/{hall}/")
}

/// Key of one batch of a hall's intent log; the number is padded so that keys sort by it.
pub fn intent_batch(hall: &str, number: u64) -> ids::RowKey {
    format!("intent/{hall}/{number:012}")
}

/// Table of accepted job graphs.
pub const GRAPHS: &str = "graph";

/// Table of the progress of job graphs.
pub const PROGRESS: &str = "progress";

/// Table with a row for each instance.
pub const INSTANCES: &str = "instance";

/// Row of an accepted job graph. The first hex digit of the id selects one of 16 parts of the table,
/// because writes to the same part wait for each other.
pub fn graph(graph: ids::GraphId) -> ids::RowKey {
    let text = format!("{graph:016x}");
    format!("{GRAPHS}/{}/{text}", &text[..1])
}

/// Row with the progress of one chunk of a job graph's tasks. It is in the same part (`pool`) as the
/// tenure's row, because each of its writes is conditional on the tenure's row.
pub fn progress(graph: ids::GraphId, chunk: u32) -> ids::RowKey {
    numbered_key(format!("{PROGRESS}/pool/{graph:016x}"), chunk)
}

/// Row that names the current scheduler of the pools.
pub fn pool_tenure() -> ids::RowKey {
    "tenure/pool/holder".to_owned()
}

/// Table of the workers on which tasks may run.
pub const ROSTER: &str = "roster";

/// Row of one page of the roster, the list of workers on which tasks may run.
pub fn roster(page: u32) -> ids::RowKey {
    numbered_key(format!("{ROSTER}/pool/{ROSTER_NAME}"), page)
}

/// Number of a page of the roster, from its key within its table.
pub fn roster_page(key: &str) -> Option<u32> {
    let (name, page) = name_and_number(key)?;
    (name == ROSTER_NAME).then_some(page)
}

/// Row of the learned speeds of workers. It is in the table of the roster, so that a new holder reads both
/// together; earlier releases ignore it there.
pub fn speeds() -> ids::RowKey {
    format!("{ROSTER}/pool/{SPEEDS_NAME}")
}

/// Whether a key within the table of the roster is that of the learned speeds.
pub fn is_speeds(key: &str) -> bool {
    key == SPEEDS_NAME
}

/// Name of the row of learned speeds.
const SPEEDS_NAME: &str = "speeds";

/// Name that all pages of the roster share.
const ROSTER_NAME: &str = "workers";

/// Key of one of several rows under a name. Row 0 has the bare name, which was the key of the only row
/// before a name could have several.
fn numbered_key(name: String, number: u32) -> ids::RowKey {
    if number == 0 { name } else { format!("{name}.{number}") }
}

/// Splits a key into name and number; a key without a number is row 0. `None` if the number is invalid.
pub fn name_and_number(key: &str) -> Option<(&str, u32)> {
    match key.split_once('.') {
        Some((name, number)) => Some((name, number.parse().ok()?)),
        None => Some((key, 0)),
    }
}

/// Prefix of the rows of the instances, the strongest instance first.
pub fn instances() -> ids::RowKey {
    format!("{INSTANCES}/all/s")
}

/// Row of an instance, by which other instances find it. Instances of the same strength are in the order of
/// `hash`, a hash of the address, so that neighbours are in different places.
pub fn instance(strength_milli: u32, hash: u64) -> ids::RowKey {
    format!("{}{:08x}-{hash:016x}", instances(), u32::MAX - strength_milli)
}
