//! Requests that must run at most once.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::{ids, model};
use almondpass_standin::fault::{Condition, Fault};

use crate::support::{self, HALL, TestInstance, TestSite};

/// Offers a key again and expects that it is not sent a second time.
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
    a_key_gets_its_recorded_outcome(site) {
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

    /// Symptom: a ticket is printed twice.
    /// Sequence: a caller repeats a request through another entry while the first is in progress.
    /// Cause: only finished requests on record. "Not run" would be a lie too.
    a_key_in_progress_is_unknown(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let grant = instance.expect_grant(support::request_with_key(&site, key)).await;
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &instance, key, unknown, grant.request).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        let done = model::RequestOutcome::Done;
        check_recorded(&site, &instance, key, done, grant.request).await;
    }

    /// Symptom: two requests under one key that wait together are both sent.
    /// Sequence: both arrive while no slot is free.
    /// Cause: a key looked up only in the log of what was sent.
    of_two_waiting_requests_one_is_sent(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let asks = [0, 1].map(|_| {
            let (service, ask) = (instance.service.clone(), support::request_with_key(&site, key));
            tokio::spawn(async move { service.ask(ask).await.expect(support::ANSWER) })
        });
        let mut n_granted = 0;
        for ask in asks {
            let reply = ask.await.expect("a call that ends");
            n_granted += usize::from(matches!(reply, model::GrantReply::Granted { .. }));
        }
        assert_eq!(n_granted, 1);
    }

    /// Symptom: a key is blocked for good by a request that was never sent.
    /// Sequence: an entry gets a grant, cannot connect, returns "not run"; the caller tries again.
    /// Cause: an intent taken for a request that was sent. The entry's word is the proof.
    a_request_that_was_not_sent_frees_its_key(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let first = instance.expect_grant(support::request_with_key(&site, key)).await;
        instance.return_grant(&first, model::RequestOutcome::NotRun).await;
        let second = instance.expect_grant(support::request_with_key(&site, key)).await;
        instance.return_grant(&first, model::RequestOutcome::NotRun).await;
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &instance, key, unknown, second.request).await;
    }

    /// Symptom: a certificate is made twice.
    /// Sequence: an entry dies before, during or after sending; the caller repeats the request.
    /// Cause: a grant that ran out taken for one that was not used.
    a_dead_entry_leaves_unknown(site) {
        let instance = site.start_holder("a").await;
        let key = site.key();
        let grant = instance.expect_grant(support::request_with_key(&site, key)).await;
        for _ in 0..10 {
            support::advance(support::secs(30)).await;
            let unknown = model::RequestOutcome::Unknown;
            check_recorded(&site, &instance, key, unknown, grant.request).await;
        }
    }

    /// Symptom: a key is sent a second time after its scheduler died.
    /// Sequence: intent logged and granted; the holder dies; the caller repeats the request.
    /// Cause: the record of keys kept in memory only.
    a_dead_scheduler_leaves_the_record(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        let (done, open) = (site.key(), site.key());
        let first = holder.expect_grant(support::request_with_key(&site, done)).await;
        holder.return_grant(&first, model::RequestOutcome::Done).await;
        support::advance(support::secs(1)).await;
        let second = holder.expect_grant(support::request_with_key(&site, open)).await;
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        check_recorded(&site, &other, done, model::RequestOutcome::Done, first.request).await;
        check_recorded(&site, &other, open, model::RequestOutcome::Unknown, second.request).await;
        // The entry lives and tells the successor how it ended.
        other.return_grant(&second, model::RequestOutcome::Done).await;
        check_recorded(&site, &other, open, model::RequestOutcome::Done, second.request).await;
    }

    /// Symptom: a key that was used is free after its intent's answer was lost.
    /// Sequence: the append takes effect, or takes it late; its answer is lost.
    /// Cause: a lost answer taken for a failure, or another batch written in its place.
    lost_answers_of_appends_are_settled(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        let faults =
            [Fault::AnswerLost, Fault::DelayedEffect(support::secs(1)), Fault::Unavailable];
        let mut used = Vec::new();
        for fault in faults {
            // The first write after the ask is the append, unless a renewal is first: then the
            // renewal is struck, which must not matter either.
            holder.table_faults.inject_next(model::TableTransaction::PATH, fault);
            let key = site.key();
            let grant = holder.expect_grant(support::request_with_key(&site, key)).await;
            holder.return_grant(&grant, model::RequestOutcome::Done).await;
            used.push((key, grant.request));
            support::advance(support::secs(3)).await;
        }
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        for (key, request) in used {
            check_recorded(&site, &other, key, model::RequestOutcome::Done, request).await;
        }
    }

    /// Symptom: a key is sent by two holders.
    /// Sequence: the old holder loses the table and logs in the object store; a new one takes
    /// over and seals; the old one offers its next intent there.
    /// Cause: the object store knows no tenures. The seal takes the number that it would write.
    a_cut_off_holder_is_fenced_in_the_object_store(site) {
        let old = site.start_holder("a").await;
        let new = site.start("b");
        let before = site.key();
        old.cut_off_from_table();
        support::advance(support::secs(5)).await;
        let first = old.expect_grant(support::request_with_key(&site, before)).await;
        support::wait_until("the new one holds", async || new.holds()).await;
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &new, before, unknown, first.request).await;
        let key = site.key();
        let reply = old.grant(support::request_with_key(&site, key)).await;
        assert!(!matches!(reply, model::GrantReply::Granted { .. }), "found {reply:?}");
        new.expect_grant(support::request_with_key(&site, key)).await;
    }

    /// Symptom: the same, with the old holder waking in the middle of an append.
    /// Sequence: its append to the object store is under way while the new one seals; it lands.
    /// Cause: an append that is counted before its answer. It meets the seal instead.
    an_append_that_lands_after_the_seal_counts_for_nothing(site) {
        let old = site.start_holder("a").await;
        let new = site.start("b");
        old.cut_off_from_table();
        support::advance(support::secs(5)).await;
        old.object_faults.set(Condition::Paused);
        let key = site.key();
        let (service, ask) = (old.service.clone(), support::request_with_key(&site, key));
        let waiting = tokio::spawn(async move { service.ask(ask).await.expect(support::ANSWER) });
        support::wait_until("the new one holds", async || new.holds()).await;
        old.object_faults.set(Condition::Up);
        let grant = new.expect_grant(support::request_with_key(&site, key)).await;
        let reply = waiting.await.expect("a call that ends");
        assert!(!matches!(reply, model::GrantReply::Granted { .. }), "found {reply:?}");
        let unknown = model::RequestOutcome::Unknown;
        check_recorded(&site, &new, key, unknown, grant.request).await;
    }

    /// Symptom: a key is sent twice because its intent was in a store that was down.
    /// Sequence: a holder logs in the object store; it dies; the object store goes down; a
    /// successor takes over by the table alone.
    /// Cause: accepting before both stores are sealed and read.
    a_successor_accepts_no_key_before_both_stores_are_sealed(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        holder.cut_off_from_table();
        support::advance(support::secs(5)).await;
        let key = site.key();
        let grant = holder.expect_grant(support::request_with_key(&site, key)).await;
        site.objects.faults().set(Condition::Refusing);
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        let reply = other.grant(support::request_with_key(&site, key)).await;
        assert!(matches!(reply, model::GrantReply::Busy { .. }), "found {reply:?}");
        other.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        site.objects.faults().set(Condition::Up);
        support::advance(support::secs(3)).await;
        check_recorded(&site, &other, key, model::RequestOutcome::Unknown, grant.request).await;
    }

    keys_without_an_age_or_too_old_are_refused(site) {
        let instance = site.start_holder("a").await;
        let old = support::key_made_at(site.now() - support::secs(3601));
        let code = async |key| match instance.grant(support::request_with_key(&site, key)).await {
            model::GrantReply::Refused { reason, .. } => reason.code,
            other => panic!("expected a refusal, found {other:?}"),
        };
        assert_eq!(code(old).await, model::WaitCode::KeyTooOld);
        assert_eq!(code(uuid::Uuid::nil()).await, model::WaitCode::KeyRequired);
        let reply = instance.grant(support::request(&site, support::SINGLE_RUN_REQUEST)).await;
        assert!(matches!(reply, model::GrantReply::Refused { .. }));
    }

    /// Symptom: the log grows for ever, or a record is dropped while its key is accepted.
    /// Sequence: keys are used; their window passes.
    records_are_dropped_after_the_window(site) {
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

    many_keys_at_once_take_few_writes(site) {
        let instance = site.start_holder("a").await;
        // Held back for a moment, so that the others gather behind the first.
        instance.table_faults.inject_nth(
            model::TableTransaction::PATH,
            1,
            Fault::Slow(Duration::from_millis(200)),
        );
        let before = site.table.committed_transactions();
        let asks = (0..12).map(|_| {
            let (service, ask) = (instance.service.clone(), support::request_with_key(&site, site.key()));
            tokio::spawn(async move { service.ask(ask).await.expect(support::ANSWER) })
        });
        for ask in asks.collect::<Vec<_>>() {
            let reply = ask.await.expect("a call that ends");
            assert!(matches!(reply, model::GrantReply::Granted { .. }), "found {reply:?}");
        }
        let n_writes = site.table.committed_transactions() - before;
        assert!(n_writes <= 4, "{n_writes} transactions for 12 intents");
    }
}
