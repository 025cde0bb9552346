//! A new scheduler learns how its hall stands.

use almondpass_ports::{keys, worker::WorkerControl};
use almondpass_schema::{model, time};
use almondpass_standin::fault::Condition;
use almondpass_standin::worker;

use crate::support::{self, HALL, N_ACCELERATORS, TestSite};

/// A lease of an earlier tenure on a worker, started or not.
async fn plant(site: &TestSite, worker: usize, lease: &str, job: uuid::Uuid, started: bool) {
    let (address, _) = &site.fleet.workers()[worker];
    let reserve = model::LeaseReserve {
        lease: lease.to_owned(),
        accelerators: (0..N_ACCELERATORS).collect(),
        slots: 0,
        cores: 1,
        memory_mb: 256,
        term: time::TimeSpan::from_secs(30),
    };
    site.fleet.reserve(address, reserve).await.expect("a worker that answers");
    if started {
        let start = model::TaskStart {
            lease: lease.to_owned(),
            job,
            rank: worker as u32,
            upstream: "oil-analysis".to_owned(),
            arguments: Vec::new().into(),
            checkpoint: None,
        };
        site.fleet.start(address, start).await.expect("a worker that answers");
    }
}

cases! {
    /// Symptom: hours of work are lost when a scheduler dies.
    /// Sequence: the holder dies under a running gang.
    a_complete_gang_is_adopted(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(60)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        assert_eq!(site.n_running_tasks(job), 3);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 3);
    }

    /// Symptom: a gang that fits the hall waits for ever, though all of it is free.
    /// Sequence: a task of it fails on one worker, the holder dies; the gang needs that worker.
    /// Cause: after a takeover a worker on which it had failed was out of the question for good.
    a_gang_that_failed_once_runs_again_after_a_takeover(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        let (_, worker) = &site.fleet.workers()[1];
        worker.set_health(worker::WorkerHealth::FailsTasks(support::secs(1)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let failed = async || site.job_row(job).is_some_and(|it| !it.failed_on.is_empty());
        support::wait_until("the gang has failed", failed).await;
        worker.set_health(worker::WorkerHealth::Healthy);
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        site.wait_for_job_state(job, model::JobState::Done).await;
    }

    /// Symptom: a job is shown as running for good.
    /// Sequence: the holder dies; the gang ends before its successor lists the workers.
    /// Cause: leases released in the takeover itself, past what notices the end of a gang.
    a_gang_that_ends_while_nobody_watches(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(2)));
        let jobs = [
            holder.run_gang(&site, support::REPEATABLE_JOB, 3).await,
            holder.run_gang(&site, support::SINGLE_RUN_JOB, 3).await,
        ];
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        for job in jobs {
            site.wait_for_job_state(job, model::JobState::Done).await;
        }
        assert_eq!(site.fleet.runs().len(), 6);
    }

    /// Symptom: part of a gang runs on after its scheduler died in the middle of its start.
    /// Sequence: two of three members were started; the successor finds them.
    a_partial_gang_is_released_and_started_again(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(60)));
        let filler = holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let job = site.key();
        support::expect_record(holder.submit(job, support::gang_submission(support::REPEATABLE_JOB, 3)).await);
        holder.crash(&site);
        for (_, worker) in site.fleet.workers() {
            worker.crash();
            worker.restart();
        }
        plant(&site, 0, &format!("job/{job}/1-1/0"), job, true).await;
        plant(&site, 1, &format!("job/{job}/1-1/1"), job, true).await;
        plant(&site, 2, &format!("job/{job}/1-1/2"), job, false).await;
        support::wait_until("the other holds", async || other.holds()).await;
        site.wait_for_job_state(filler, model::JobState::Done).await;
        site.wait_for_job_state(job, model::JobState::Done).await;
        let whole = site.fleet.runs().iter().filter(|it| it.job == job && it.lease.contains("/2-")).count();
        assert_eq!(whole, 3);
    }

    /// Symptom: accelerators are held by nobody's leases.
    /// Sequence: a job ended, its holder died before it released the leases.
    leases_of_unknown_jobs_are_released(site) {
        let job = site.key();
        plant(&site, 0, &format!("job/{job}/0-1/0"), job, true).await;
        let holder = site.start_holder("a").await;
        holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        assert_eq!(site.n_running_tasks(job), 0);
    }

    /// Symptom: a hall has a scheduler that holds it and does nothing, for good.
    /// Sequence: a worker shows a lease that looks like a newer tenure's; the rows know of none.
    /// Cause: a scheduler that stops by itself while its seat goes on renewing.
    a_false_sign_of_a_newer_tenure_is_survived(site) {
        let holder = site.start_holder("a").await;
        let job = site.key();
        plant(&site, 0, &format!("job/{job}/99-1/0"), job, true).await;
        holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        assert!(site.scheduler_row().is_some_and(|it| 1 < it.epoch));
        assert_eq!(site.n_running_tasks(job), 0);
    }

    /// Symptom: a request's accelerators are given to a job while it runs.
    /// Sequence: the holder dies; entries still use its grants; they report and return them.
    /// Cause: serving leases of an earlier tenure taken for idle.
    serving_leases_stay_busy_until_entries_settle_them(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        let grant = holder.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        let job = site.key();
        support::expect_record(
            other.submit(job, support::gang_submission(support::REPEATABLE_JOB, support::N_WORKERS)).await,
        );
        let report = model::GrantReport {
            entry: "b".to_owned(),
            hall: HALL.to_owned(),
            grants: vec![grant.clone()],
        };
        other.service.ask(report).await.expect(support::ANSWER);
        support::advance(support::secs(3)).await;
        assert_eq!(site.n_running_tasks(job), 0);
        other.return_grant(&grant, model::RequestOutcome::Done).await;
        site.wait_for_job_state(job, model::JobState::Running).await;
    }

    serving_leases_nobody_reports_are_released(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        holder.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        let job = site.key();
        support::expect_record(
            other.submit(job, support::gang_submission(support::REPEATABLE_JOB, support::N_WORKERS)).await,
        );
        let report =
            model::GrantReport { entry: "b".to_owned(), hall: HALL.to_owned(), grants: Vec::new() };
        other.service.ask(report).await.expect(support::ANSWER);
        site.wait_for_job_state(job, model::JobState::Running).await;
    }

    /// Symptom: a gang is started a second time while it runs on a worker that does not answer.
    /// Sequence: the holder dies; one of the gang's workers is cut off for a while.
    /// Cause: "no answer" taken for "no lease".
    a_gang_on_a_silent_worker_is_kept_for_a_term(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(60)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        support::advance(support::secs(1)).await;
        let silent = site.fleet.runs()[0].worker.clone();
        let workers = site.fleet.workers();
        let (_, worker) = workers.iter().find(|(_, it)| it.shape().id == silent).expect("one");
        worker.faults().set(Condition::Dropping);
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        support::advance(support::secs(4)).await;
        assert_eq!(site.n_running_tasks(job), 3);
        worker.faults().set(Condition::Up);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 3);
    }

    /// Symptom: a cancelled job runs again.
    /// Sequence: it is cancelled; the holder dies before it stopped it.
    a_cancellation_survives_its_scheduler(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(600)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 2).await;
        holder.worker_faults.set(Condition::Dropping);
        support::expect_record(holder.cancel(job).await);
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        site.wait_for_job_state(job, model::JobState::Cancelled).await;
        assert_eq!(site.n_running_tasks(job), 0);
        assert_eq!(site.table.peek(&keys::hall_jobs(HALL)).len(), 0);
    }
    /// Symptom: a job is left waiting for good.
    /// Sequence: it is submitted while no worker can be reached; they can again.
    a_holder_without_workers(site) {
        let holder = site.start_holder("a").await;
        holder.worker_faults.set(Condition::Refusing);
        let job = site.key();
        support::expect_record(holder.submit(job, support::gang_submission(support::SINGLE_RUN_JOB, 1)).await);
        support::advance(support::secs(3)).await;
        holder.worker_faults.set(Condition::Up);
        site.wait_for_job_state(job, model::JobState::Done).await;
    }
}
