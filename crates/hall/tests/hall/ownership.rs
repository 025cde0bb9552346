//! Who schedules a hall.

use std::time::Duration;

use almondpass_hall::tenure::{TenureState, TenureStatus, TenureWatch};
use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::fault::Fault;
use tokio::time::Instant;

use crate::support::{self, HALL};

cases! {
    one_of_three_schedules_the_hall(site) {
        let instances = ["a", "b", "c"].map(|it| site.start(it));
        support::wait_until("somebody holds", async || instances.iter().any(|it| it.holds())).await;
        support::advance(support::secs(30)).await;
        assert_eq!(instances.iter().filter(|it| it.holds()).count(), 1);
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
    }

    /// Symptom: a hall without a scheduler for long after its holder died.
    /// Sequence: the holder dies right after a renewal; the others see no change of its row.
    /// Cause: watchers count the term from the last change that they saw, each by its own clock.
    a_dead_holder_is_followed_within_the_term_and_two_seconds(site) {
        let holder = site.start_holder("a").await;
        let others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(60)).await;
        holder.crash(&site);
        let died = Instant::now();
        support::wait_until("another holds", async || others.iter().any(|it| it.holds())).await;
        let term = model::TimingSettings::default().scheduler_term.0;
        assert!(died.elapsed() <= term + support::secs(2), "took {:?}", died.elapsed());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(2));
    }

    /// Symptom: requests refused while an instance is replaced.
    /// Sequence: the holder shuts down; requests keep coming through both instances.
    /// Cause: a hall given up by lapsing has no scheduler for a term.
    a_leaving_holder_hands_over_within_a_second(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        support::advance(support::secs(5)).await;
        let started = Instant::now();
        site.change_members(|it| it.instances.get_mut("a").expect("a member").leaving = true);
        let (service, ask) = (holder.service.clone(), support::request(&site, support::REPEATABLE_REQUEST));
        let shutdown = tokio::spawn(async move { service.shutdown().await });
        support::wait_until("the other holds", async || other.holds()).await;
        let took = started.elapsed();
        assert!(took < support::secs(1), "took {took:?}");
        assert!(matches!(holder.grant(ask).await, model::GrantReply::NotHolder { .. }));
        other.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        shutdown.await.expect("a shutdown that ends");
    }

    /// Symptom: a hall waits a whole term for a holder that does not know that it holds.
    /// Sequence: the write that takes the hall takes effect; its answer is lost.
    /// Cause: an error taken for a failure. The row names its writer.
    a_lost_answer_of_the_taking_write_is_settled(site) {
        site.table.faults().inject_next(model::TableTransaction::PATH, Fault::AnswerLost);
        let holder = site.start_holder("a").await;
        assert!(holder.holds());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
    }

    /// Symptom: a live holder gives its hall up.
    /// Sequence: a renewal's answer is lost, or the renewal lands late and moves the version.
    /// Cause: the next renewal's conflict taken for a defeat.
    lost_and_late_renewals_keep_the_tenure(site) {
        let holder = site.start_holder("a").await;
        let transact = model::TableTransaction::PATH;
        for fault in [Fault::AnswerLost, Fault::DelayedEffect(Duration::from_millis(2700))] {
            for _ in 0..3 {
                site.table.faults().inject_next(transact, fault);
                support::advance(support::secs(4)).await;
            }
        }
        support::advance(support::secs(10)).await;
        assert!(holder.holds());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
        holder.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
    }

    /// Symptom: two instances decide for one hall.
    /// Sequence: the holder loses the table, another takes over; the old one still reaches peers.
    /// Cause: it takes the table for down. A beat with a higher tenure proves the opposite.
    a_cut_off_holder_stops_when_it_hears_of_a_newer_tenure(site) {
        let old = site.start_holder("a").await;
        let new = site.start("b");
        support::advance(support::secs(5)).await;
        old.cut_off_from_table();
        support::wait_until("the other holds", async || new.holds()).await;
        assert!(old.holds());
        old.service.observe_epochs(&new.service.summaries());
        support::wait_until("the old one stopped", async || !old.holds()).await;
        let reply = old.grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        assert!(matches!(reply, model::GrantReply::NotHolder { .. }));
    }

    /// Symptom: a holder that was paused through its term acts once more.
    /// Sequence: it wakes after the end of its term, with or without an old sighting of an outage.
    /// Cause: a flag instead of a look at the clock before every act.
    a_paused_holder_is_stale_until_it_renewed(_site) {
        let now = Instant::now();
        let valid_until = now + support::secs(4);
        let state = TenureState {
            hall: HALL.to_owned(),
            epoch: 1,
            row_version: 1,
            valid_until,
            outage_seen_at: None,
            outage_assumed_for: support::secs(3),
            ended: false,
        };
        let (sender, watch) = TenureWatch::new(state);
        assert_eq!(watch.status(), TenureStatus::Firm);
        tokio::time::advance(support::secs(4)).await;
        assert_eq!(watch.status(), TenureStatus::Stale);
        sender.send_modify(|it| it.outage_seen_at = Some(Instant::now()));
        assert_eq!(watch.status(), TenureStatus::Detached);
        tokio::time::advance(support::secs(60)).await;
        assert_eq!(watch.status(), TenureStatus::Stale);
        sender.send_modify(|it| it.valid_until = Instant::now() + support::secs(1));
        assert_eq!(watch.status(), TenureStatus::Firm);
        drop(sender);
        assert_eq!(watch.status(), TenureStatus::Ended);
    }
}
