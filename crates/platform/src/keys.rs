//! Keys of our rows in the table service and of our objects in the object store.

use almondpass_schema::ids;

/// Row that names the scheduler of a hall.
pub fn scheduler(hall: &str) -> ids::RowKey {
    format!("scheduler/{hall}")
}

/// Row with the number of the newest accepted configuration.
pub fn config_head() -> ids::RowKey {
    "config-head".to_owned()
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

/// Prefix of the batches of a hall's intent log, in the table as in the object store.
pub fn intent_log(hall: &str) -> ids::RowKey {
    format!("intent/{hall}/")
}

/// One batch of a hall's intent log.
pub fn intent_batch(hall: &str, number: u64) -> ids::RowKey {
    format!("intent/{hall}/{number:012}")
}
