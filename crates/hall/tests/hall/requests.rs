//! Slots for requests.

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

    an_idle_lease_makes_room_for_a_job(site) {
        let instance = site.start_holder("a").await;
        let grant = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        assert_eq!(site.n_running_tasks(job), support::N_WORKERS as usize);
    }

    a_request_waits_for_a_slot_and_is_told_when_its_deadline_passes(site) {
        let instance = site.start_holder("a").await;
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let request = model::GrantRequest {
            deadline: site.now() + support::secs(3),
            ..support::request(&site, support::REPEATABLE_REQUEST)
        };
        let reply = instance.grant(request).await;
        assert!(matches!(reply, model::GrantReply::Busy { .. }), "found {reply:?}");
    }

    /// Symptom: an entry that lost an answer gets a second slot, and the first is held in vain.
    /// Sequence: the entry asks again under the same request.
    /// Cause: each ask taken for a new request.
    a_repeated_ask_gets_the_same_grant(site) {
        let instance = site.start_holder("a").await;
        let request = support::request(&site, support::REPEATABLE_REQUEST);
        let first = instance.expect_grant(request.clone()).await;
        assert_eq!(instance.expect_grant(request).await, first);
    }

    /// Symptom: accelerators are held for good after an entry died.
    /// Sequence: the entry gets a grant and dies before it returns it.
    /// Cause: a grant without an end.
    a_grant_that_is_not_returned_ends(site) {
        let instance = site.start_holder("a").await;
        for _ in 0..support::N_WORKERS * support::N_ACCELERATORS {
            instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        }
        support::advance(support::secs(40)).await;
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
    }

    /// Symptom: a slot is lost for a term, or given twice.
    /// Sequence: the answer to a reservation is lost.
    /// Cause: an ambiguous answer taken for a refusal. Asked again, the worker grants it again.
    a_lost_answer_to_a_reservation_is_settled(site) {
        let instance = site.start_holder("a").await;
        instance.worker_faults.inject_next(model::LeaseReserve::PATH, Fault::AnswerLost);
        instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        let held = site.fleet.workers().iter().map(|(_, it)| it.peek().len()).sum::<usize>();
        assert_eq!(held, 1);
    }

    connections_are_shared_out_over_the_instances(site) {
        let instance = site.start_holder("a").await;
        let _others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(1)).await;
        let grant = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        assert_eq!(grant.connections, 64 / 4);
    }

    the_queue_of_an_account_is_limited(site) {
        let instance = site.start_holder("a").await;
        site.change_config(|it| it.accounts[0].limits.queued_requests = 2);
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let asks = (0..3).map(|_| {
            let (service, ask) = (instance.service.clone(), support::request(&site, support::REPEATABLE_REQUEST));
            tokio::spawn(async move { service.ask(ask).await.expect(support::ANSWER) })
        });
        let mut codes = Vec::new();
        for ask in asks.collect::<Vec<_>>() {
            if let Ok(model::GrantReply::Busy { reason, .. }) = ask.await {
                codes.push(reason.code);
            }
        }
        assert!(codes.contains(&model::WaitCode::AccountLimit), "found {codes:?}");
    }
}
