//! Requests during a hand-over, sent through the hall directory as entries send them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use almondpass_membership::{directory, holders, rendezvous};
use almondpass_peer::link::HallLink;
use almondpass_schema::model;
use tokio::time::Instant;

use crate::support::{self, HALL, TestInstance, TestSite};

fn hall_directory(site: &TestSite, instance: &TestInstance) -> impl HallLink {
    directory::HallDirectory::new(directory::DirectoryParts {
        own: instance.address.clone(),
        link: site.net.link(&instance.address),
        table: site.table.clone(),
        local: instance.service.clone(),
        holders: holders::HolderTable::default(),
        read_at: Mutex::new(BTreeMap::new()),
    })
}

/// Requests slots every few milliseconds for `span`. Returns the longest wait and every reply that was not
/// a grant.
async fn request_repeatedly(
    site: &TestSite,
    link: &impl HallLink,
    span: Duration,
) -> (Duration, Vec<String>) {
    let started = Instant::now();
    let mut longest_wait = Duration::ZERO;
    let mut refusals = Vec::new();
    while started.elapsed() < span {
        let requested_at = Instant::now();
        let reply =
            link.ask(support::request(site, support::REPEATABLE_REQUEST), support::secs(5)).await;
        longest_wait = longest_wait.max(requested_at.elapsed());
        match reply {
            Ok(model::GrantReply::Granted { grant }) => {
                let returned = support::grant_returns(&grant, model::RequestOutcome::Done);
                let _ = link.ask(returned, support::secs(5)).await;
            }
            other => refusals.push(format!("{other:?}")),
        }
        support::advance(Duration::from_millis(10)).await;
    }
    (longest_wait, refusals)
}

cases! {
    /// Guards against one instance that schedules every hall for weeks: it starts before the others and
    /// acquires every hall, because all are free. If a hall moved only when its holder leaves, that instance
    /// would keep all of them.
    a_hall_moves_to_its_assigned_instance(site) {
        let assigned_id = rendezvous::preferred(HALL, ["a", "b"]).expect("two candidates");
        let first_id = if assigned_id == "a" { "b" } else { "a" };
        let holder = site.start_holder(first_id).await;
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        let other = site.start(assigned_id);
        let link = hall_directory(&site, &holder);
        let (longest_wait, refusals) = request_repeatedly(&site, &link, support::secs(180)).await;
        assert!(other.holds() && !holder.holds());
        assert_eq!(refusals, Vec::<String>::new());
        assert!(longest_wait < support::secs(2), "a request waited {longest_wait:?}");
        assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
    }

    /// Guards against requests that are refused while an instance is replaced: requests arrive continuously
    /// through two entries while the holder shuts down. No instance answers between two holders, and an entry
    /// treats that as a final failure.
    no_request_is_refused_during_a_hand_over(site) {
        let holder = site.start_holder("a").await;
        let others = ["b", "c"].map(|it| site.start(it));
        support::advance(support::secs(5)).await;
        let by_holder = hall_directory(&site, &holder);
        let by_other = hall_directory(&site, &others[0]);
        site.change_members(|it| it.instances.get_mut("a").expect("a member").leaving = true);
        let service = holder.service.clone();
        let shutdown = tokio::spawn(async move {
            support::advance(support::secs(1)).await;
            service.shutdown().await;
        });
        let span = support::secs(4);
        let (holder_result, other_result) = tokio::join!(
            request_repeatedly(&site, &by_holder, span),
            request_repeatedly(&site, &by_other, span),
        );
        shutdown.await.expect("a shutdown that ends");
        assert_eq!((holder_result.1, other_result.1), (Vec::new(), Vec::new()));
        assert!(holder_result.0 < support::secs(1), "one waited {:?}", holder_result.0);
        assert!(other_result.0 < support::secs(1), "one waited {:?}", other_result.0);
        assert!(others.iter().any(|it| it.holds()));
    }

    /// Guards against a starting gang that is stopped by a hand-over, and against a hand-over that waits long
    /// for the gang: the holder leaves while a gang starts and job rows are being committed, and the
    /// successor reads rows and leases in the middle of that start.
    a_hand_over_during_a_gang_start_neither_stops_it_nor_waits_long(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        support::advance(support::secs(5)).await;
        let slow = almondpass_standin::fault::Condition::Slow(Duration::from_millis(100));
        holder.worker_faults.set(slow);
        let job = site.key();
        support::expect_record(
            holder.submit(job, support::gang_submission(support::REPEATABLE_JOB, 3)).await,
        );
        support::advance(Duration::from_millis(50)).await;
        let left_at = Instant::now();
        holder.service.shutdown().await;
        support::wait_until("the other holds", async || other.holds()).await;
        assert!(left_at.elapsed() < support::secs(1), "took {:?}", left_at.elapsed());
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 3);
    }

    /// Guards against a restart during an outage that loses hours of work: the table becomes unavailable, the
    /// holder is asked to leave, and the table becomes available again later. A holder that leaves a hall
    /// that no other instance can acquire lets the leases of its gangs expire.
    a_holder_that_leaves_in_an_outage_stays_until_it_can_hand_over(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(200)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        site.table.faults().set(almondpass_standin::fault::Condition::Refusing);
        support::advance(support::secs(10)).await;
        let service = holder.service.clone();
        let shutdown = tokio::spawn(async move { service.shutdown().await });
        support::advance(support::secs(60)).await;
        assert_eq!(site.n_running_tasks(job), 3);
        site.table.faults().set(almondpass_standin::fault::Condition::Up);
        support::wait_until("the other holds", async || other.holds()).await;
        shutdown.await.expect("a shutdown that ends");
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 3);
    }
}
