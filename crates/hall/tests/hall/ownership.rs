//! Acquiring, renewing, losing and handing over the tenure of a hall.

use std::time::Duration;

use almondpass_hall::tenure::{TenureState, TenureStatus, TenureWatch};
use almondpass_peer::call::PeerCall;
use almondpass_schema::model;
use almondpass_standin::fault::Fault;
use tokio::time::Instant;

use crate::support::{self, HALL};

cases! {
    one_of_three_instances_schedules_the_hall(site) {
        let instances = ["a", "b", "c"].map(|it| site.start(it));
        support::wait_until("somebody holds", async || instances.iter().any(|it| it.holds())).await;
        support::advance(support::secs(30)).await;
        assert_eq!(instances.iter().filter(|it| it.holds()).count(), 1);
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
    }

    /// Guards against a hall that stays without a scheduler for long after its holder died: the holder dies
    /// right after a renewal, so that the scheduler row no longer changes, and each watcher counts the term
    /// from the last change that it read, by its own clock.
    a_dead_holder_is_replaced_within_the_term_and_two_seconds(site) {
        let holder = site.start_holder("a").await;
        let others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(60)).await;
        holder.crash(&site);
        let died_at = Instant::now();
        support::wait_until("another holds", async || others.iter().any(|it| it.holds())).await;
        let term = model::TimingSettings::default().scheduler_term.0;
        assert!(died_at.elapsed() <= term + support::secs(2), "took {:?}", died_at.elapsed());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(2));
    }

    /// Guards against requests that are refused while an instance is replaced: the holder shuts down while
    /// requests arrive through both instances. A holder that lets its tenure expire leaves the hall without a
    /// scheduler for a term.
    a_leaving_holder_hands_over_within_a_second(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        support::advance(support::secs(5)).await;
        let left_at = Instant::now();
        site.change_members(|it| it.instances.get_mut("a").expect("a member").leaving = true);
        let (service, grant_request) =
            (holder.service.clone(), support::request(&site, support::REPEATABLE_REQUEST));
        let shutdown = tokio::spawn(async move { service.shutdown().await });
        support::wait_until("the other holds", async || other.holds()).await;
        let hand_over_time = left_at.elapsed();
        assert!(hand_over_time < support::secs(1), "took {hand_over_time:?}");
        assert!(matches!(holder.grant(grant_request).await, model::GrantReply::NotHolder { .. }));
        other.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        shutdown.await.expect("a shutdown that ends");
    }

    /// Guards against a hall that waits a whole term for a holder that does not know that it holds the hall:
    /// the write that acquires the hall takes effect, but its answer is lost and is treated as a failed
    /// write, although the row names its writer.
    a_lost_answer_to_the_acquiring_write_keeps_the_tenure(site) {
        site.table.faults().inject_next(model::TableTransaction::PATH, Fault::AnswerLost);
        let holder = site.start_holder("a").await;
        assert!(holder.holds());
        assert_eq!(site.scheduler_row().map(|it| it.epoch), Some(1));
    }

    /// Guards against a live holder that gives up its hall: the answer to a renewal is lost, or a renewal
    /// takes effect late and changes the row's version, and the conflict of the next renewal is treated as
    /// the loss of the tenure.
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

    /// Guards against two instances that schedule one hall: the holder is cut off from the table but not from
    /// its peers, and another instance takes over. The old holder assumes that the table is unavailable to
    /// all instances, and does not compare its epoch with the higher one in the other instance's beat.
    a_cut_off_holder_stops_when_a_beat_reports_a_newer_tenure(site) {
        let old_holder = site.start_holder("a").await;
        let new_holder = site.start("b");
        support::advance(support::secs(5)).await;
        old_holder.cut_off_from_table();
        support::wait_until("the other holds", async || new_holder.holds()).await;
        assert!(old_holder.holds());
        old_holder.service.observe_epochs(&new_holder.service.summaries());
        support::wait_until("the old one stopped", async || !old_holder.holds()).await;
        let reply = old_holder.grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        assert!(matches!(reply, model::GrantReply::NotHolder { .. }));
    }

    /// Guards against a holder that still acts after its process was paused past the end of its term: the
    /// process resumes after the end of the term, with or without an outage recorded long ago, and the holder
    /// checks a flag instead of the clock before each action.
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
