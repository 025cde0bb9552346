//! Grants of slots to requests: reuse, queueing, expiry and limits.

use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::fault::Fault;

use crate::support;

cases! {
    grants_a_slot_and_reuses_its_lease(site) {
        let instance = site.start_holder("a").await;
        let first = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&first, model::RequestOutcome::Done).await;
        let second = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        assert_eq!((first.worker, first.lease), (second.worker, second.lease));
    }

    an_idle_lease_is_evicted_for_a_job(site) {
        let instance = site.start_holder("a").await;
        let grant = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        assert_eq!(site.n_running_tasks(job), support::N_WORKERS as usize);
    }

    a_request_without_a_slot_is_answered_busy_at_its_deadline(site) {
        let instance = site.start_holder("a").await;
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let request = model::GrantRequest {
            deadline: site.now() + support::secs(3),
            ..support::request(&site, support::REPEATABLE_REQUEST)
        };
        let reply = instance.grant(request).await;
        assert!(matches!(reply, model::GrantReply::Busy { .. }), "found {reply:?}");
    }

    /// Guards against an entry that holds two slots for one request, the first unused: the entry lost
    /// the answer and repeats the call with the same request id. It would come about if each call
    /// counted as a new request.
    a_repeated_request_gets_the_same_grant(site) {
        let instance = site.start_holder("a").await;
        let request = support::request(&site, support::REPEATABLE_REQUEST);
        let first = instance.expect_grant(request.clone()).await;
        assert_eq!(instance.expect_grant(request).await, first);
    }

    /// Guards against accelerators that stay held forever: an entry gets a grant and dies before it
    /// returns it. It would come about if grants did not expire.
    a_grant_that_is_not_returned_expires(site) {
        let instance = site.start_holder("a").await;
        for _ in 0..support::N_WORKERS * support::N_ACCELERATORS {
            instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        }
        support::advance(support::secs(40)).await;
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
    }

    /// Guards against a slot that is lost for a lease term or granted twice: the answer to a reservation
    /// is lost. It would come about if an ambiguous outcome counted as a refusal; instead, the call is
    /// repeated, and the worker grants the same lease again.
    a_lost_answer_to_a_reservation_is_retried(site) {
        let instance = site.start_holder("a").await;
        instance.worker_faults.inject_next(model::LeaseReserve::PATH, Fault::AnswerLost);
        instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        let held = site.fleet.workers().iter().map(|(_, it)| it.peek().len()).sum::<usize>();
        assert_eq!(held, 1);
    }

    connections_are_shared_equally_between_instances(site) {
        let instance = site.start_holder("a").await;
        let _others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(1)).await;
        let grant = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        assert_eq!(grant.connections, 64 / 4);
    }

    the_request_queue_of_an_account_is_limited(site) {
        let instance = site.start_holder("a").await;
        site.change_config(|it| it.accounts[0].limits.queued_requests = 2);
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let calls = (0..3).map(|_| {
            let (service, request) =
                (instance.service.clone(), support::request(&site, support::REPEATABLE_REQUEST));
            tokio::spawn(async move { service.ask(request).await.expect(support::ANSWER) })
        });
        let mut codes = Vec::new();
        for call in calls.collect::<Vec<_>>() {
            if let Ok(model::GrantReply::Busy { reason, .. }) = call.await {
                codes.push(reason.code);
            }
        }
        assert!(codes.contains(&model::WaitCode::AccountLimit), "found {codes:?}");
    }
}
