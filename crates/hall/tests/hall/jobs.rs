//! Jobs and their rows.

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::fault::{Condition, Fault};

use crate::support::{self, HALL};

cases! {
    runs_a_gang_whole(site) {
        let instance = site.start_holder("a").await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        assert_eq!(site.n_running_tasks(job), 3);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
    }

    /// Symptom: a job that runs is shown as saving its run, for hours.
    /// Sequence: the policy has a long run saved and does not stop it.
    /// Cause: the state was set when a checkpoint was asked for and stayed after it was durable.
    a_run_that_was_saved_runs_on(site) {
        let instance = site.start_holder("a").await;
        site.fleet.scripts().set_default(support::task_script(support::secs(3600)));
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        support::advance(support::secs(630)).await;
        let record = site.job_row(job).expect("a row");
        assert!(record.checkpoint.is_some(), "found no checkpoint after ten minutes");
        assert_eq!(record.state, model::JobState::Running);
        assert_eq!(site.n_running_tasks(job), 2);
    }

    a_job_that_never_fits_is_refused(site) {
        let instance = site.start_holder("a").await;
        let reply = instance.submit(site.key(), support::gang_submission(support::REPEATABLE_JOB, 99)).await;
        let model::JobReply::Refused { reason, .. } = reply else {
            panic!("expected a refusal, found {reply:?}");
        };
        assert_eq!(reason.code, model::WaitCode::NeverFits);
    }

    /// Symptom: a job runs twice, or its caller is told "not run" while it runs.
    /// Sequence: the answer to the commit of its row is lost; the entry submits it again.
    /// Cause: an error taken for a failure, or a new job made of a repeat.
    a_lost_answer_to_the_commit_is_settled(site) {
        let instance = site.start_holder("a").await;
        let job = site.key();
        instance.table_faults.inject_next(model::TableTransaction::PATH, Fault::AnswerLost);
        support::expect_record(instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await);
        support::expect_record(instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 2);
        support::expect_record(instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await);
        support::advance(support::secs(30)).await;
        assert_eq!(site.fleet.runs().len(), 2);
    }

    /// Symptom: a job that ended is shown as running for ever, and a takeover runs it again.
    /// Sequence: a commit is lost on its way; its repetition and the next commit, with the end of
    /// the job, are durable; then the lost one arrives.
    /// Cause: nothing but the tenure was a condition of it, and that had not changed.
    a_commit_that_arrives_late_undoes_nothing(_site) {
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

    /// Symptom: "not run" for a job that runs later.
    /// Sequence: the table refuses the row; the caller is refused; the table returns.
    /// Cause: a refused submission that stays in the queue.
    a_refused_job_does_not_run_later(site) {
        let instance = site.start_holder("a").await;
        let job = site.key();
        instance.table_faults.inject_next(model::TableTransaction::PATH, Fault::Unavailable);
        let reply = instance.submit(job, support::gang_submission(support::REPEATABLE_JOB, 2)).await;
        assert!(matches!(reply, model::JobReply::Refused { .. }), "found {reply:?}");
        support::advance(support::secs(60)).await;
        assert_eq!(site.job_row(job), None);
        assert_eq!(site.n_running_tasks(job), 0);
    }

    /// Symptom: a caller is told that a job was cancelled, and it runs on.
    /// Sequence: the job is cancelled while it runs, twice.
    cancelling_a_running_gang_stops_it_whole(site) {
        let instance = site.start_holder("a").await;
        let job = instance.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        support::expect_record(instance.cancel(job).await);
        support::expect_record(instance.cancel(job).await);
        site.wait_for_job_state(job, model::JobState::Cancelled).await;
        assert_eq!(site.n_running_tasks(job), 0);
        assert_eq!(site.partial_runs(job, 3, support::secs(1)), 0);
    }

    /// Symptom: a wave of cancellations takes the table's writes for itself.
    /// Sequence: 500 waiting jobs are cancelled at once, each twice.
    /// Cause: a write for each.
    cancellations_are_written_in_groups(site) {
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

    ended_jobs_are_kept_for_a_while(site) {
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

    /// Symptom: a job that may run only once runs twice after its holder died.
    /// Sequence: its start was sent; holder and workers die; the successor finds no leases.
    /// Cause: the successor takes "no leases" for "did not start".
    work_that_may_run_only_once_is_never_started_again(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(3600)));
        let job = holder.run_gang(&site, support::SINGLE_RUN_JOB, 2).await;
        for (_, worker) in site.fleet.workers() {
            worker.crash();
        }
        holder.crash(&site);
        for (_, worker) in site.fleet.workers() {
            worker.restart();
        }
        support::wait_until("the other holds", async || other.holds()).await;
        site.wait_for_job_state(job, model::JobState::Unknown).await;
        support::advance(support::secs(120)).await;
        assert_eq!(site.fleet.runs().len(), 2);
    }

    /// Symptom: a job that may run only once starts before its row says so.
    /// Sequence: the table goes down while it waits for room; the room opens.
    /// Cause: a start before the row is durable. It waits for the table instead.
    work_that_may_run_only_once_waits_for_the_table(site) {
        let instance = site.start_holder("a").await;
        let first = instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let job = site.key();
        support::expect_record(instance.submit(job, support::gang_submission(support::SINGLE_RUN_JOB, 1)).await);
        site.table.faults().set(Condition::Refusing);
        support::wait_until("the first job ended", async || site.n_running_tasks(first) == 0).await;
        support::advance(support::secs(60)).await;
        assert_eq!(site.n_running_tasks(job), 0);
        site.table.faults().set(Condition::Up);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().iter().filter(|it| it.job == job).count(), 1);
    }
}
