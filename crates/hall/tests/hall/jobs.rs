//! Jobs and their gangs.

use almondpass_schema::model;

use crate::support::{self, TestSite};

#[tokio::test(start_paused = true)]
async fn runs_a_gang_whole() {
    let site = TestSite::new();
    let instance = site.start_holder("a").await;
    let job = instance.run(&site, support::BATCH, 3).await;
    assert_eq!(site.n_running(job), 3);
    site.until_job(job, model::JobState::Done).await;
    assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
}
