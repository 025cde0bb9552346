//! What goes on, and what is refused, while the stores are down.

use almondpass_schema::model;
use almondpass_standin::fault::Condition;

use crate::support;

cases! {
    /// Symptom: work stops, or a hall changes hands, because the table is away for an hour.
    /// Sequence: the table refuses for an hour; gangs run, requests come; it returns.
    /// Cause: a holder that gives up with its term, or watchers that count the outage against it.
    an_hour_without_the_table(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        site.fleet.scripts().set_default(support::task_script(support::secs(7200)));
        let long = holder.run_gang(&site, support::REPEATABLE_JOB, 1).await;
        site.table.faults().set(Condition::Refusing);
        for _ in 0..60 {
            support::advance(support::secs(60)).await;
            let grant = holder.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
            holder.return_grant(&grant, model::RequestOutcome::Done).await;
        }
        assert!(!other.holds());
        assert_eq!(site.n_running_tasks(long), 1);
        let refused = holder.submit(site.key(), support::gang_submission(support::REPEATABLE_JOB, 1)).await;
        let model::JobReply::Refused { reason, retry_after } = refused else {
            panic!("expected a refusal, found {refused:?}");
        };
        assert_eq!(reason.code, model::WaitCode::StoreUnavailable);
        assert!(retry_after.is_some());
        site.table.faults().set(Condition::Up);
        support::advance(support::secs(20)).await;
        assert!(holder.holds() && !other.holds());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
        assert_eq!(site.job_row(job).map(|it| it.state), Some(model::JobState::Done));
        assert_eq!(site.n_running_tasks(long), 1);
        holder.run_gang(&site, support::REPEATABLE_JOB, 1).await;
    }

    /// Symptom: keyed requests are refused for as long as the table is down, or run twice.
    /// Sequence: the table is down; a key is used, its outcome told; the holder dies after the
    /// table came back; the key is offered again.
    /// Cause: an intent that only the table may hold, or a successor that reads only the table.
    keyed_requests_go_on_by_the_object_store(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.table.faults().set(Condition::Dropping);
        support::advance(support::secs(60)).await;
        let key = site.key();
        let grant = holder.expect_grant(support::request_with_key(&site, key)).await;
        holder.return_grant(&grant, model::RequestOutcome::Done).await;
        support::advance(support::secs(5)).await;
        site.table.faults().set(Condition::Up);
        support::advance(support::secs(10)).await;
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        let again = other.grant(support::request_with_key(&site, key)).await;
        let outcome = model::RequestOutcome::Done;
        assert_eq!(again, model::GrantReply::Recorded { outcome, request: grant.request });
    }

    /// Symptom: a keyed request is told "not run" and ran, or can never run.
    /// Sequence: both stores are down; a key is offered; both return; it is offered again.
    /// Cause: a grant before the intent is durable, or a withdrawn intent that blocks its key.
    without_both_stores_keyed_requests_wait(site) {
        let holder = site.start_holder("a").await;
        site.table.faults().set(Condition::Dropping);
        site.objects.faults().set(Condition::Refusing);
        support::advance(support::secs(30)).await;
        let key = site.key();
        let reply = holder.grant(support::request_with_key(&site, key)).await;
        let model::GrantReply::Busy { reason, .. } = reply else {
            panic!("expected a busy answer, found {reply:?}");
        };
        assert_eq!(reason.code, model::WaitCode::StoreUnavailable);
        holder.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        site.table.faults().set(Condition::Up);
        site.objects.faults().set(Condition::Up);
        support::advance(support::secs(10)).await;
        holder.expect_grant(support::request_with_key(&site, key)).await;
    }

    /// Symptom: a storm of retries when the table returns, or while it is away.
    /// Sequence: the table is silent for ten minutes under load.
    /// Cause: retries without a pause.
    an_outage_makes_no_retry_storm(site) {
        let holder = site.start_holder("a").await;
        let _job = holder.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        let before = site.table.faults().calls("/v1/table/transact");
        site.table.faults().set(Condition::Refusing);
        support::advance(support::secs(600)).await;
        let n_calls = site.table.faults().calls("/v1/table/transact") - before;
        assert!(n_calls < 600 * 5, "{n_calls} writes in ten minutes");
    }
}
