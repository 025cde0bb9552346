//! Tests of submitting, committing, cancelling and ending jobs.

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::fault::{Condition, Fault};

use crate::support::{self, HALL};

cases! {
    gang_runs_as_a_whole(site) {
        let instance = site.start_holder("a").await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        assert_eq!(site.n_running_tasks(job), 3);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
    }

    /// A running job must not be shown as checkpointing for hours after the policy had a long run
    /// saved without stopping it. The state was set when the checkpoint was requested and was not
    /// reset once the checkpoint was durable.
    job_continues_after_a_checkpoint(site) {
        let instance = site.start_holder("a").await;
        site.fleet.scripts().set_default(support::task_script(support::secs(3600)));
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        support::advance(support::secs(630)).await;
        let record = site.job_row(job).expect("a row");
        assert!(record.checkpoint.is_some(), "found no checkpoint after ten minutes");
        assert_eq!(record.state, model::JobState::Running);
        assert_eq!(site.n_running_tasks(job), 2);
    }

    job_that_never_fits_is_refused(site) {
        let instance = site.start_holder("a").await;
        let reply =
            instance.submit(site.key(), support::gang_submission(support::REPEATABLE_JOB, 99)).await;
        let model::JobReply::Refused { reason, .. } = reply else {
            panic!("expected a refusal, found {reply:?}");
        };
        assert_eq!(reason.code, model::WaitCode::NeverFits);
    }

    /// A job must not run twice, or be reported as "not run" while it runs, when the answer to the
    /// commit of its row is lost and the entry submits it again. A lost answer is not a failed
    /// commit, and a repeated submission is not a new job.
    job_runs_once_after_a_lost_commit_answer(site) {
        let instance = site.start_holder("a").await;
        let job = site.key();
        instance.table_faults.inject_next(model::TableTransaction::PATH, Fault::AnswerLost);
        support::expect_record(
            instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await,
        );
        support::expect_record(
            instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await,
        );
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 2);
        support::expect_record(
            instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await,
        );
        support::advance(support::secs(30)).await;
        assert_eq!(site.fleet.runs().len(), 2);
    }

    /// A job that ended must not be shown as running for ever and be run again by a takeover. It
    /// would be if a commit is delayed, its repetition and the next commit with the end of the job
    /// become durable, and then the delayed commit arrives and is conditional on the tenure only,
    /// which has not changed.
    late_commit_does_not_overwrite_newer_rows(_site) {
        for nth in 1..=8 {
            let site = support::TestSite::new();
            site.fleet.scripts().set_default(support::task_script(support::secs(1)));
            let instance = site.start_holder("a").await;
            let late = Fault::DelayedEffect(support::secs(20));
            instance.table_faults.inject_nth(model::TableTransaction::PATH, nth, late);
            let job = site.key();
            instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await;
            support::advance(support::secs(60)).await;
            let state = site.job_row(job).map(|it| it.state);
            assert_eq!(state, Some(model::JobState::Done), "write {nth} was late");
        }
    }

    /// A job must not run after its caller was refused because the table rejected its row, when the
    /// table is available again. A refused submission must not stay in the queue.
    refused_job_does_not_run_later(site) {
        let instance = site.start_holder("a").await;
        let job = site.key();
        instance.table_faults.inject_next(model::TableTransaction::PATH, Fault::Unavailable);
        let reply =
            instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await;
        assert!(matches!(reply, model::JobReply::Refused { .. }), "found {reply:?}");
        support::advance(support::secs(60)).await;
        assert_eq!(site.job_row(job), None);
        assert_eq!(site.n_running_tasks(job), 0);
    }

    /// A job must not continue after its caller was told that it was cancelled. Here the job is
    /// cancelled twice while it runs.
    cancellation_stops_all_tasks_of_a_running_gang(site) {
        let instance = site.start_holder("a").await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        support::expect_record(instance.cancel(job).await);
        support::expect_record(instance.cancel(job).await);
        site.wait_for_job_state(job, model::JobState::Cancelled).await;
        assert_eq!(site.n_running_tasks(job), 0);
        assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
    }

    /// A burst of cancellations must not use up the write capacity of the table, as one write for
    /// each cancellation would. Here 500 waiting jobs are cancelled at once, each of them twice.
    cancellations_are_written_in_batches(site) {
        let instance = site.start_holder("a").await;
        site.fleet.scripts().set_default(support::task_script(support::secs(3600)));
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let jobs = (0..500).map(|_| site.key()).collect::<Vec<_>>();
        let submits = jobs.iter().map(|job| {
            let (service, job) = (instance.service.clone(), *job);
            let submission = support::gang_submission(support::REPEATABLE_JOB, 1);
            let account = support::ACCOUNT.to_owned();
            let submit = model::JobSubmit { job, hall: HALL.to_owned(), account, submission };
            tokio::spawn(async move { service.ask(submit).await.expect(support::ANSWER) })
        });
        for submit in submits.collect::<Vec<_>>() {
            support::expect_record(submit.await.expect("a call that ends"));
        }
        let before = site.table.committed_transactions();
        let cancels = jobs.iter().chain(&jobs).map(|job| {
            let (service, job) = (instance.service.clone(), *job);
            let account = support::ACCOUNT.to_owned();
            let cancel = model::JobCancel { job, hall: HALL.to_owned(), account };
            tokio::spawn(async move { service.ask(cancel).await.expect(support::ANSWER) })
        });
        for cancel in cancels.collect::<Vec<_>>() {
            support::expect_record(cancel.await.expect("a call that ends"));
        }
        support::wait_until("all are cancelled", async || {
            jobs.iter().all(|it| {
                site.job_row(*it).is_some_and(|it| it.state == model::JobState::Cancelled)
            })
        })
        .await;
        let n_writes = site.table.committed_transactions() - before;
        assert!(n_writes < 40, "{n_writes} transactions for 500 cancellations");
    }

    ended_jobs_are_deleted_after_the_retention_time(site) {
        let instance = site.start_holder("a").await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 1).await;
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.table.peek(&keys::hall_jobs(HALL)).len(), 0);
        let record = support::expect_record(instance.query(job).await);
        assert_eq!(record.state, model::JobState::Done);
        support::advance(support::secs(700)).await;
        assert_eq!(site.job_row(job), None);
        assert_eq!(site.table.peek(&keys::ended_jobs(HALL)).len(), 0);
        assert_eq!(instance.query(job).await, model::JobReply::NotFound);
    }

    /// A non-repeatable job must not run twice when the holder and the workers crash after its start
    /// was sent. That the successor finds no leases does not prove that the job did not start.
    non_repeatable_job_is_never_started_again(site) {
        let holder = site.start_holder("a").await;
        let successor = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(3600)));
        let job = holder.run_gang(&site, support::SINGLE_RUN_JOB, 2).await;
        for (_, worker) in site.fleet.workers() {
            worker.crash();
        }
        holder.crash(&site);
        for (_, worker) in site.fleet.workers() {
            worker.restart();
        }
        support::wait_until("the successor holds the hall", async || successor.holds()).await;
        site.wait_for_job_state(job, model::JobState::Unknown).await;
        support::advance(support::secs(120)).await;
        assert_eq!(site.fleet.runs().len(), 2);
    }

    /// A non-repeatable job must not start before the row that records the start is durable. Here
    /// the table goes down while the job waits for free accelerators, and then some become free: the
    /// job has to wait for the table.
    non_repeatable_job_waits_for_the_table(site) {
        let instance = site.start_holder("a").await;
        let first = instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let job = site.key();
        support::expect_record(
            instance.submit(job, support::gang_submission(support::SINGLE_RUN_JOB, 1)).await,
        );
        site.table.faults().set(Condition::Refusing);
        support::wait_until("the first job ended", async || site.n_running_tasks(first) == 0).await;
        support::advance(support::secs(60)).await;
        assert_eq!(site.n_running_tasks(job), 0);
        site.table.faults().set(Condition::Up);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().iter().filter(|it| it.job == job).count(), 1);
    }
}
