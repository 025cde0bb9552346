//! Tests of scheduling while the table or the object store is down.

use almondpass_schema::model;
use almondpass_standin::fault::Condition;

use crate::support;

cases! {
    /// Work must not stop, and the hall must not change its holder, when the table rejects all calls
    /// for an hour while gangs run and requests arrive. The holder must not resign when its term
    /// ends during the outage, and standby instances must not treat the outage as its failure.
    hall_keeps_its_holder_during_an_hour_of_table_outage(site) {
        let holder = site.start_holder("a").await;
        let standby = site.start("b");
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        site.fleet.scripts().set_default(support::task_script(support::secs(7200)));
        let long_job = holder.run_gang(&site, support::REPEATABLE_JOB, 1).await;
        site.table.faults().set(Condition::Refusing);
        for _ in 0..60 {
            support::advance(support::secs(60)).await;
            let grant =
                holder.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
            holder.return_grant(&grant, model::RequestOutcome::Done).await;
        }
        assert!(!standby.holds());
        assert_eq!(site.n_running_tasks(long_job), 1);
        let refused =
            holder.submit(site.key(), support::gang_submission(support::REPEATABLE_JOB, 1)).await;
        let model::JobReply::Refused { reason, retry_after } = refused else {
            panic!("expected a refusal, found {refused:?}");
        };
        assert_eq!(reason.code, model::WaitCode::StoreUnavailable);
        assert!(retry_after.is_some());
        site.table.faults().set(Condition::Up);
        support::advance(support::secs(20)).await;
        assert!(holder.holds() && !standby.holds());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
        assert_eq!(site.job_row(job).map(|it| it.state), Some(model::JobState::Done));
        assert_eq!(site.n_running_tasks(long_job), 1);
        holder.run_gang(&site, support::REPEATABLE_JOB, 1).await;
    }

    /// Requests with keys must neither be refused while the table is down nor run twice. Here a key
    /// is used and its outcome returned during an outage, the holder crashes after the table is
    /// available again, and the request is repeated. Intents may be logged to the object store, and
    /// the successor has to read both stores.
    keyed_requests_are_logged_to_the_object_store_during_a_table_outage(site) {
        let holder = site.start_holder("a").await;
        let successor = site.start("b");
        site.table.faults().set(Condition::Dropping);
        support::advance(support::secs(60)).await;
        let key = site.key();
        let grant = holder.expect_grant(support::request_with_key(&site, key)).await;
        holder.return_grant(&grant, model::RequestOutcome::Done).await;
        support::advance(support::secs(5)).await;
        site.table.faults().set(Condition::Up);
        support::advance(support::secs(10)).await;
        holder.crash(&site);
        support::wait_until("the successor holds the hall", async || successor.holds()).await;
        let again = successor.grant(support::request_with_key(&site, key)).await;
        let outcome = model::RequestOutcome::Done;
        assert_eq!(again, model::GrantReply::Recorded { outcome, request: grant.request });
    }

    /// A request with a key that arrives while both stores are down must neither run although it is
    /// reported as "not run" nor be blocked after both stores are available again. The grant must
    /// wait until the intent is durable, and a withdrawn intent must free its key.
    keyed_requests_are_busy_while_both_stores_are_down(site) {
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

    /// Retries must pause between attempts, so that the number of calls stays bounded while the table
    /// is down for ten minutes under load and when it is available again.
    retries_are_limited_during_a_table_outage(site) {
        let holder = site.start_holder("a").await;
        let _job = holder.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        let before = site.table.faults().calls("/v1/table/transact");
        site.table.faults().set(Condition::Refusing);
        support::advance(support::secs(600)).await;
        let n_calls = site.table.faults().calls("/v1/table/transact") - before;
        assert!(n_calls < 600 * 5, "{n_calls} writes in ten minutes");
    }
}
