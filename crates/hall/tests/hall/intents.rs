//! Tests of requests with idempotency keys, which must run at most once.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use almondpass_standin::fault::{Condition, Fault};

use crate::support::{self, HALL, TestInstance, TestSite};

/// Repeats a request with a key and checks that the reply is the recorded outcome, not a grant.
async fn check_recorded(
    site: &TestSite,
    instance: &TestInstance,
    key: ids::IdempotencyKey,
    outcome: model::RequestOutcome,
    request: ids::RequestId,
) {
    let reply = instance.grant(support::request_with_key(site, key)).await;
    assert_eq!(reply, model::GrantReply::Recorded { outcome, request });
}

cases! {
    repeated_key_returns_the_recorded_outcome(site) {
        let instance = site.start_holder("a").await;
        let outcomes = [
            model::RequestOutcome::Done,
            model::RequestOutcome::Failed,
            model::RequestOutcome::Unknown,
        ];
        for outcome in outcomes {
            let key = site.key();
            let grant = instance.expect_grant(support::request_with_key(&site, key)).await;
            instance.return_grant(&grant, outcome).await;
            check_recorded(&site, &instance, key, outcome, grant.request).await;
        }
    }

    /// A repeated request must not be sent while the first one is in progress, so recording finished
    /// requests only is not enough. The reported outcome is "unknown"; "not run" would be wrong too.
    key_in_progress_is_reported_as_unknown(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let grant = instance.expect_grant(support::request_with_key(&site, key)).await;
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &instance, key, unknown, grant.request).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        let done = model::RequestOutcome::Done;
        check_recorded(&site, &instance, key, done, grant.request).await;
    }

    /// Two requests with the same key that wait for a slot at the same time must not both be sent.
    /// Looking up a key only in the log of the requests that were sent would miss this.
    only_one_of_two_waiting_requests_with_one_key_is_granted(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let calls = [0, 1].map(|_| {
            let (service, request) =
                (instance.service.clone(), support::request_with_key(&site, key));
            tokio::spawn(async move { service.ask(request).await.expect(support::ANSWER) })
        });
        let mut n_granted = 0;
        for call in calls {
            let reply = call.await.expect("a call that ends");
            n_granted += usize::from(matches!(reply, model::GrantReply::Granted { .. }));
        }
        assert_eq!(n_granted, 1);
    }

    /// A key must not stay blocked by a request that was never sent: an entry gets a grant, cannot
    /// connect and returns "not run", and the caller retries. An intent alone does not mean that the
    /// request was sent; the outcome returned by the entry proves that it was not.
    request_that_was_not_sent_frees_its_key(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let first = instance.expect_grant(support::request_with_key(&site, key)).await;
        instance.return_grant(&first, model::RequestOutcome::NotRun).await;
        let second = instance.expect_grant(support::request_with_key(&site, key)).await;
        instance.return_grant(&first, model::RequestOutcome::NotRun).await;
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &instance, key, unknown, second.request).await;
    }

    /// A request must not be sent again after its entry crashed before, during or after sending it.
    /// An expired grant may have been used.
    outcome_stays_unknown_after_entry_crash(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let grant = instance.expect_grant(support::request_with_key(&site, key)).await;
        for _ in 0..10 {
            support::advance(support::secs(30)).await;
            let unknown = model::RequestOutcome::Unknown;
            check_recorded(&site, &instance, key, unknown, grant.request).await;
        }
    }

    /// A request must not be sent again after the holder that granted it crashed, so keeping the uses
    /// of keys in memory only is not enough.
    key_uses_survive_holder_crash(site) {
        let holder = site.start_holder("a").await;
        let successor = site.start("b");
        let (done_key, open_key) = (site.key(), site.key());
        let first = holder.expect_grant(support::request_with_key(&site, done_key)).await;
        holder.return_grant(&first, model::RequestOutcome::Done).await;
        support::advance(support::secs(1)).await;
        let second = holder.expect_grant(support::request_with_key(&site, open_key)).await;
        holder.crash(&site);
        support::wait_until("the successor holds the hall", async || successor.holds()).await;
        check_recorded(
            &site,
            &successor,
            done_key,
            model::RequestOutcome::Done,
            first.request,
        )
        .await;
        check_recorded(
            &site,
            &successor,
            open_key,
            model::RequestOutcome::Unknown,
            second.request,
        )
        .await;
        // The entry still runs and returns the outcome to the successor.
        successor.return_grant(&second, model::RequestOutcome::Done).await;
        check_recorded(
            &site,
            &successor,
            open_key,
            model::RequestOutcome::Done,
            second.request,
        )
        .await;
    }

    /// A used key must not become free when the answer to the append of its intent is lost, while
    /// the append takes effect at once or late. A lost answer must not be treated as a failure, and
    /// no different batch may be written under the same number.
    lost_append_answers_keep_keys_recorded(site) {
        let holder = site.start_holder("a").await;
        let successor = site.start("b");
        let faults =
            [Fault::AnswerLost, Fault::DelayedEffect(support::secs(1)), Fault::Unavailable];
        let mut used = Vec::new();
        for fault in faults {
            // The first write after the grant request is the append, unless a renewal of the tenure
            // comes first: then the fault is injected into the renewal, which must be harmless too.
            holder.table_faults.inject_next(model::TableTransaction::PATH, fault);
            let key = site.key();
            let grant = holder.expect_grant(support::request_with_key(&site, key)).await;
            holder.return_grant(&grant, model::RequestOutcome::Done).await;
            used.push((key, grant.request));
            support::advance(support::secs(3)).await;
        }
        holder.crash(&site);
        support::wait_until("the successor holds the hall", async || successor.holds()).await;
        for (key, request) in used {
            check_recorded(&site, &successor, key, model::RequestOutcome::Done, request).await;
        }
    }

    /// Two holders must not both grant a key: the old holder loses the table and logs to the object
    /// store, a new holder takes over and seals the log, and the old one appends its next intent.
    /// The object store cannot check tenures; the seal occupies the number that the old holder
    /// would write.
    old_holder_is_fenced_in_the_object_store(site) {
        let old_holder = site.start_holder("a").await;
        let new_holder = site.start("b");
        let earlier_key = site.key();
        old_holder.cut_off_from_table();
        support::advance(support::secs(5)).await;
        let first = old_holder.expect_grant(support::request_with_key(&site, earlier_key)).await;
        support::wait_until("the new holder holds the hall", async || new_holder.holds()).await;
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &new_holder, earlier_key, unknown, first.request).await;
        let key = site.key();
        let reply = old_holder.grant(support::request_with_key(&site, key)).await;
        assert!(!matches!(reply, model::GrantReply::Granted { .. }), "found {reply:?}");
        new_holder.expect_grant(support::request_with_key(&site, key)).await;
    }

    /// Two holders must not both grant a key when the old holder's append to the object store is in
    /// flight while the new holder seals the log, and arrives after the seal. An append only counts
    /// once it is answered, and this one finds its number taken by the seal.
    append_that_arrives_after_the_seal_has_no_effect(site) {
        let old_holder = site.start_holder("a").await;
        let new_holder = site.start("b");
        old_holder.cut_off_from_table();
        support::advance(support::secs(5)).await;
        old_holder.object_faults.set(Condition::Paused);
        let key = site.key();
        let (service, request) =
            (old_holder.service.clone(), support::request_with_key(&site, key));
        let waiting =
            tokio::spawn(async move { service.ask(request).await.expect(support::ANSWER) });
        support::wait_until("the new holder holds the hall", async || new_holder.holds()).await;
        old_holder.object_faults.set(Condition::Up);
        let grant = new_holder.expect_grant(support::request_with_key(&site, key)).await;
        let reply = waiting.await.expect("a call that ends");
        assert!(!matches!(reply, model::GrantReply::Granted { .. }), "found {reply:?}");
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &new_holder, key, unknown, grant.request).await;
    }

    /// A key must not be granted twice because its intent is in a store that is down: a holder logs
    /// to the object store and crashes, the object store goes down, and a successor takes over with
    /// the table alone. It may grant no key until both stores are sealed and read.
    successor_grants_no_key_before_both_stores_are_sealed(site) {
        let holder = site.start_holder("a").await;
        let successor = site.start("b");
        holder.cut_off_from_table();
        support::advance(support::secs(5)).await;
        let key = site.key();
        let grant = holder.expect_grant(support::request_with_key(&site, key)).await;
        site.objects.faults().set(Condition::Refusing);
        holder.crash(&site);
        support::wait_until("the successor holds the hall", async || successor.holds()).await;
        let reply = successor.grant(support::request_with_key(&site, key)).await;
        assert!(matches!(reply, model::GrantReply::Busy { .. }), "found {reply:?}");
        successor.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        site.objects.faults().set(Condition::Up);
        support::advance(support::secs(3)).await;
        check_recorded(&site, &successor, key, model::RequestOutcome::Unknown, grant.request).await;
    }

    keys_without_a_timestamp_or_too_old_are_refused(site) {
        let instance = site.start_holder("a").await;
        let old_key = support::key_made_at(site.now() - support::secs(3601));
        let code = async |key| match instance.grant(support::request_with_key(&site, key)).await {
            model::GrantReply::Refused { reason, .. } => reason.code,
            other => panic!("expected a refusal, found {other:?}"),
        };
        assert_eq!(code(old_key).await, model::WaitCode::KeyTooOld);
        assert_eq!(code(uuid::Uuid::nil()).await, model::WaitCode::KeyRequired);
        let reply = instance.grant(support::request(&site, support::SINGLE_RUN_REQUEST)).await;
        assert!(matches!(reply, model::GrantReply::Refused { .. }));
    }

    /// The log must not grow without bound, and the use of a key must not be deleted while the key
    /// is still accepted.
    key_uses_are_deleted_after_the_window(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let grant = instance.expect_grant(support::request_with_key(&site, key)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        support::advance(support::secs(3590)).await;
        check_recorded(&site, &instance, key, model::RequestOutcome::Done, grant.request).await;
        support::advance(support::secs(3600)).await;
        assert_eq!(site.table.peek(&keys::intent_log(HALL)).len(), 0);
        let floor = site.row::<model::IntentFloor>(&keys::intent_floor(HALL));
        assert!(floor.is_some_and(|it| 1 < it.table && 1 < it.objects));
        let next = instance.expect_grant(support::request_with_key(&site, site.key())).await;
        instance.return_grant(&next, model::RequestOutcome::Done).await;
    }

    concurrent_intents_share_transactions(site) {
        let instance = site.start_holder("a").await;
        // The first write is delayed, so that the other intents queue up during it.
        instance.table_faults.inject_nth(
            model::TableTransaction::PATH,
            1,
            Fault::Slow(Duration::from_millis(200)),
        );
        let before = site.table.committed_transactions();
        let calls = (0..12).map(|_| {
            let (service, request) =
                (instance.service.clone(), support::request_with_key(&site, site.key()));
            tokio::spawn(async move { service.ask(request).await.expect(support::ANSWER) })
        });
        for call in calls.collect::<Vec<_>>() {
            let reply = call.await.expect("a call that ends");
            assert!(matches!(reply, model::GrantReply::Granted { .. }), "found {reply:?}");
        }
        let n_writes = site.table.committed_transactions() - before;
        assert!(n_writes <= 4, "{n_writes} transactions for 12 intents");
    }
}
