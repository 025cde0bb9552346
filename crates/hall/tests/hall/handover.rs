//! Requests during a hand-over, by the way that entries take.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use almondpass_membership::{directory, holders, rendezvous};
use almondpass_peer::link::HallLink;
use almondpass_schema::model;
use tokio::time::Instant;

use crate::support::{self, HALL, TestInstance, TestSite};

fn directory(site: &TestSite, instance: &TestInstance) -> impl HallLink {
    directory::HallDirectory::new(directory::DirectoryParts {
        own: instance.address.clone(),
        link: site.net.link(&instance.address),
        table: site.table.clone(),
        local: instance.service.clone(),
        holders: holders::HolderTable::default(),
        read_at: Mutex::new(BTreeMap::new()),
    })
}

/// Asks for slots every few milliseconds until `stop`; tells the longest wait and every answer
/// that was no grant.
async fn ask_on(site: &TestSite, link: &impl HallLink, span: Duration) -> (Duration, Vec<String>) {
    let started = Instant::now();
    let mut longest = Duration::ZERO;
    let mut refusals = Vec::new();
    while started.elapsed() < span {
        let asked = Instant::now();
        let reply =
            link.ask(support::request(site, support::REPEATABLE_REQUEST), support::secs(5)).await;
        longest = longest.max(asked.elapsed());
        match reply {
            Ok(model::GrantReply::Granted { grant }) => {
                let returned = support::grant_returns(&grant, model::RequestOutcome::Done);
                let _ = link.ask(returned, support::secs(5)).await;
            }
            other => refusals.push(format!("{other:?}")),
        }
        support::advance(Duration::from_millis(10)).await;
    }
    (longest, refusals)
}

cases! {
    /// Symptom: one instance schedules every hall, for weeks.
    /// Sequence: it starts before the others and takes what is free; nobody else ever may.
    /// Cause: halls were spread only when their holder left.
    a_hall_moves_to_the_instance_whose_share_it_is_in(site) {
        let chosen = rendezvous::preferred(HALL, ["a", "b"]).expect("two candidates");
        let first = if chosen == "a" { "b" } else { "a" };
        let holder = site.start_holder(first).await;
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        let other = site.start(chosen);
        let link = directory(&site, &holder);
        let (longest, refusals) = ask_on(&site, &link, support::secs(180)).await;
        assert!(other.holds() && !holder.holds());
        assert_eq!(refusals, Vec::<String>::new());
        assert!(longest < support::secs(2), "a request waited {longest:?}");
        assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
    }

    /// Symptom: requests are refused while an instance is replaced.
    /// Sequence: requests come through two entries all the time; the holder shuts down.
    /// Cause: between two holders nobody answers, and an entry takes that for an end.
    no_request_is_refused_during_a_hand_over(site) {
        let holder = site.start_holder("a").await;
        let others = ["b", "c"].map(|it| site.start(it));
        support::advance(support::secs(5)).await;
        let by_holder = directory(&site, &holder);
        let by_other = directory(&site, &others[0]);
        site.change_members(|it| it.instances.get_mut("a").expect("a member").leaving = true);
        let service = holder.service.clone();
        let shutdown = tokio::spawn(async move {
            support::advance(support::secs(1)).await;
            service.shutdown().await;
        });
        let span = support::secs(4);
        let (first, second) =
            tokio::join!(ask_on(&site, &by_holder, span), ask_on(&site, &by_other, span));
        shutdown.await.expect("a shutdown that ends");
        assert_eq!((first.1, second.1), (Vec::new(), Vec::new()));
        assert!(first.0 < support::secs(1), "one waited {:?}", first.0);
        assert!(second.0 < support::secs(1), "one waited {:?}", second.0);
        assert!(others.iter().any(|it| it.holds()));
    }

    /// Symptom: a gang that was starting is torn down, or a hand-over waits for it for long.
    /// Sequence: the holder leaves while a gang starts and jobs are being committed.
    /// Cause: a successor that reads rows and leases in the middle of a start.
    a_hand_over_in_the_middle_of_a_start(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        support::advance(support::secs(5)).await;
        let slow = almondpass_standin::fault::Condition::Slow(Duration::from_millis(100));
        holder.worker_faults.set(slow);
        let job = site.key();
        support::expect_record(holder.submit(job, support::gang_submission(support::REPEATABLE_JOB, 3)).await);
        support::advance(Duration::from_millis(50)).await;
        let leaving = Instant::now();
        holder.service.shutdown().await;
        support::wait_until("the other holds", async || other.holds()).await;
        assert!(leaving.elapsed() < support::secs(1), "took {:?}", leaving.elapsed());
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 3);
    }

    /// Symptom: a restart in an outage costs hours of work.
    /// Sequence: the table goes down; the holder is told to leave; the table returns.
    /// Cause: a holder that leaves a hall that nobody can take lets its gangs' leases lapse.
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
