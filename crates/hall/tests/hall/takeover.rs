//! Takeover of a hall: what a new scheduler does with the jobs, leases and grants of the previous one.

use almondpass_ports::{keys, worker::WorkerControl};
use almondpass_schema::{model, time};
use almondpass_standin::fault::Condition;
use almondpass_standin::worker;

use crate::support::{self, HALL, N_ACCELERATORS, TestSite};

/// Creates a lease of an earlier tenure on a worker, and starts its task if `started`.
async fn create_lease(site: &TestSite, worker: usize, lease: &str, job: uuid::Uuid, started: bool) {
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
    /// Guards against the loss of hours of work when a scheduler dies: the holder dies while a gang runs, and
    /// the gang has to continue under the next holder.
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

    /// Guards against a gang that fits the hall but waits for ever although every worker is free: a task of
    /// the gang fails on one worker, the holder dies, and the successor never places the gang on that worker
    /// again. The gang needs all workers.
    a_gang_that_failed_once_runs_again_after_a_takeover(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        let (_, worker) = &site.fleet.workers()[1];
        worker.set_health(worker::WorkerHealth::FailsTasks(support::secs(1)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let gang_failed = async || site.job_row(job).is_some_and(|it| !it.failed_on.is_empty());
        support::wait_until("the gang has failed", gang_failed).await;
        worker.set_health(worker::WorkerHealth::Healthy);
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        site.wait_for_job_state(job, model::JobState::Done).await;
    }

    /// Guards against an ended job that stays in the running state: the holder dies, and the gang ends before
    /// the successor lists the leases of the workers. The takeover then releases the leases itself and
    /// bypasses the code that handles the end of a gang.
    a_gang_that_ends_without_a_holder_is_recorded_as_done(site) {
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

    /// Guards against part of a gang that keeps running after its scheduler died during the start of the
    /// gang: the holder dies after it started two of three members, and the successor finds their leases.
    a_partial_gang_is_released_and_started_again(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(60)));
        let filler = holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        let job = site.key();
        support::expect_record(
            holder.submit(job, support::gang_submission(support::REPEATABLE_JOB, 3)).await,
        );
        holder.crash(&site);
        for (_, worker) in site.fleet.workers() {
            worker.crash();
            worker.restart();
        }
        create_lease(&site, 0, &format!("job/{job}/1-1/0"), job, true).await;
        create_lease(&site, 1, &format!("job/{job}/1-1/1"), job, true).await;
        create_lease(&site, 2, &format!("job/{job}/1-1/2"), job, false).await;
        support::wait_until("the other holds", async || other.holds()).await;
        site.wait_for_job_state(filler, model::JobState::Done).await;
        site.wait_for_job_state(job, model::JobState::Done).await;
        let n_restarted = site
            .fleet
            .runs()
            .iter()
            .filter(|it| it.job == job && it.lease.contains("/2-"))
            .count();
        assert_eq!(n_restarted, 3);
    }

    /// Guards against accelerators that stay occupied by leases that belong to no job: a job ends, and the
    /// holder dies before it releases the job's leases.
    leases_of_unknown_jobs_are_released(site) {
        let job = site.key();
        create_lease(&site, 0, &format!("job/{job}/0-1/0"), job, true).await;
        let holder = site.start_holder("a").await;
        holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        assert_eq!(site.n_running_tasks(job), 0);
    }

    /// Guards against a hall whose scheduler does nothing: a worker lists a lease that seems to be from a
    /// newer tenure, but no newer tenure is in the rows. The scheduler stops while its contender keeps
    /// renewing the tenure.
    a_lease_with_a_higher_epoch_does_not_stop_the_hall(site) {
        let holder = site.start_holder("a").await;
        let job = site.key();
        create_lease(&site, 0, &format!("job/{job}/99-1/0"), job, true).await;
        holder.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
        assert!(site.scheduler_row().is_some_and(|it| 1 < it.epoch));
        assert_eq!(site.n_running_tasks(job), 0);
    }

    /// Guards against giving the accelerators of a running request to a job: the holder dies while entries
    /// use its grants, and the successor treats serving leases of the earlier tenure as idle. The entries
    /// report and return the grants later.
    serving_leases_stay_busy_until_entries_return_their_grants(site) {
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

    serving_leases_that_no_entry_reports_are_released(site) {
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

    /// Guards against a second start of a gang that still runs on a worker that does not answer: the holder
    /// dies while one of the gang's workers is cut off for a few seconds, and the successor treats that
    /// worker as one without leases.
    a_gang_on_a_silent_worker_is_kept_for_a_term(site) {
        let holder = site.start_holder("a").await;
        let other = site.start("b");
        site.fleet.scripts().set_default(support::task_script(support::secs(60)));
        let job = holder.run_gang(&site, support::REPEATABLE_JOB, 3).await;
        support::advance(support::secs(1)).await;
        let silent_worker = site.fleet.runs()[0].worker.clone();
        let workers = site.fleet.workers();
        let (_, worker) = workers.iter().find(|(_, it)| it.shape().id == silent_worker).expect("one");
        worker.faults().set(Condition::Dropping);
        holder.crash(&site);
        support::wait_until("the other holds", async || other.holds()).await;
        support::advance(support::secs(4)).await;
        assert_eq!(site.n_running_tasks(job), 3);
        worker.faults().set(Condition::Up);
        site.wait_for_job_state(job, model::JobState::Done).await;
        assert_eq!(site.fleet.runs().len(), 3);
    }

    /// Guards against a cancelled job that runs again: a job is cancelled, and the holder dies before it has
    /// stopped the job's tasks.
    a_cancellation_survives_the_loss_of_its_scheduler(site) {
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

    /// Guards against a job that is never started: it is submitted while no worker can be reached, and the
    /// workers can be reached again later.
    a_job_submitted_without_reachable_workers_runs_later(site) {
        let holder = site.start_holder("a").await;
        holder.worker_faults.set(Condition::Refusing);
        let job = site.key();
        support::expect_record(
            holder.submit(job, support::gang_submission(support::SINGLE_RUN_JOB, 1)).await,
        );
        support::advance(support::secs(3)).await;
        holder.worker_faults.set(Condition::Up);
        site.wait_for_job_state(job, model::JobState::Done).await;
    }
}
