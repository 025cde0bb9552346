//! Who schedules a hall.

use crate::support::{self, TestSite};

#[tokio::test(start_paused = true)]
async fn one_of_three_schedules_the_hall() {
    let site = TestSite::new();
    let instances = ["a", "b", "c"].map(|it| site.start(it));
    support::until("somebody holds", async || instances.iter().any(|it| it.holds())).await;
    support::pass(support::secs(30)).await;
    assert_eq!(instances.iter().filter(|it| it.holds()).count(), 1);
    assert_eq!(site.scheduler().map(|it| it.epoch), Some(1));
}
