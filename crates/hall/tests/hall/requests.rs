//! Slots for requests.

use almondpass_schema::model;

use crate::support::{self, TestSite};

#[tokio::test(start_paused = true)]
async fn grants_a_slot_and_reuses_its_lease() {
    let site = TestSite::new();
    let instance = site.start_holder("a").await;
    let first = instance.granted(support::request(&site, support::CHECK)).await;
    instance.give_back(&first, model::RequestOutcome::Done).await;
    let second = instance.granted(support::request(&site, support::CHECK)).await;
    assert_eq!((first.worker, first.lease), (second.worker, second.lease));
}
