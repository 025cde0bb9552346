//! Tests of the leases and tasks of a fake worker.

use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_ports::worker::WorkerControl;
use almondpass_schema::{ids, model, time};
use almondpass_standin::{fault, fleet, run, script, worker};
use tokio::time as clock;
use uuid::Uuid;

const ADDRESS: &str = "worker-1";

fn fleet() -> (fleet::WorkerFleet, fleet::WorkerFake) {
    let fleet = fleet::WorkerFleet::new();
    let shape = worker::WorkerShape {
        id: "vadodara-a-01".to_owned(),
        data_center: "vadodara".to_owned(),
        accelerators: 8,
        slots: 8,
        cores: 32,
        memory_mb: 65_536,
    };
    let worker = fleet.add(ADDRESS, shape);
    (fleet, worker)
}

fn reserve(lease: &str, accelerators: &[u32]) -> model::LeaseReserve {
    model::LeaseReserve {
        lease: lease.to_owned(),
        accelerators: accelerators.to_vec(),
        slots: 1,
        cores: 1,
        memory_mb: 256,
        term: time::TimeSpan::from_secs(30),
    }
}

fn start(lease: &str) -> model::TaskStart {
    model::TaskStart {
        lease: lease.to_owned(),
        job: Uuid::nil(),
        rank: 0,
        upstream: "oil-analysis".to_owned(),
        arguments: Default::default(),
        checkpoint: None,
    }
}

fn renew(lease: &str) -> model::LeaseRenew {
    model::LeaseRenew { leases: vec![lease.to_owned()], term: time::TimeSpan::from_secs(30) }
}

fn refused_by(holder: &str) -> model::LeaseReserved {
    let holders = vec![ids::LeaseId::from(holder)];
    model::LeaseReserved::Refused { holders, reason: "accelerators are held".to_owned() }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident($fleet:ident, $worker:ident) $body:block)*) => {
        $($(#[$doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            let ($fleet, $worker) = fleet();
            $body
        })*
    }
}

cases! {
    reservation_is_exclusive(fleet, _worker) {
        let address = ADDRESS.to_owned();
        let first = fleet.reserve(&address, reserve("a", &[0, 1])).await;
        let repeated = fleet.reserve(&address, reserve("a", &[0, 1])).await;
        let second = fleet.reserve(&address, reserve("b", &[1, 2])).await;
        let other = fleet.reserve(&address, reserve("c", &[2, 3])).await;
        assert_eq!(first, Ok(model::LeaseReserved::Granted));
        assert_eq!(repeated, Ok(model::LeaseReserved::Granted));
        assert_eq!(second, Ok(refused_by("a")));
        assert_eq!(other, Ok(model::LeaseReserved::Granted));
    }

    start_is_idempotent_and_a_task_ends_by_itself(fleet, _worker) {
        let address = ADDRESS.to_owned();
        fleet.scripts().set_default(script::TaskScript::lasting(Duration::from_secs(3)));
        fleet.reserve(&address, reserve("a", &[0])).await.unwrap();
        for _ in 0..2 {
            let started = fleet.start(&address, start("a")).await;
            assert_eq!(started, Ok(model::TaskStarted::Started));
        }
        clock::advance(Duration::from_secs(4)).await;
        let runs = fleet.runs();
        assert_eq!(runs.len(), 1);
        let end = runs[0].ended.clone().unwrap();
        assert_eq!(end.at - runs[0].started, Duration::from_secs(3));
        assert_eq!(end.cause, run::EndCause::Exited(model::TaskExit::Succeeded));
    }

    lapsed_lease_stops_its_task(fleet, _worker) {
        let address = ADDRESS.to_owned();
        fleet.scripts().set_default(script::TaskScript::lasting(Duration::from_secs(300)));
        fleet.reserve(&address, reserve("a", &[0])).await.unwrap();
        fleet.start(&address, start("a")).await.unwrap();
        clock::advance(Duration::from_secs(20)).await;
        assert_eq!(fleet.renew(&address, renew("a")).await.unwrap().leases.len(), 1);
        clock::advance(Duration::from_secs(31)).await;
        let renewed = fleet.renew(&address, renew("a")).await.unwrap();
        assert_eq!(renewed.lapsed, ["a"]);
        let end = fleet.runs()[0].ended.clone().unwrap();
        assert_eq!(end.cause, run::EndCause::Lapsed);
        assert_eq!(fleet.start(&address, start("a")).await, Ok(model::TaskStarted::NoLease));
    }

    /// A task may start although its caller was told that the start failed: the connection of the start breaks,
    /// so that the worker's answer is lost, and the start takes effect 2 s later.
    delayed_start_takes_effect_after_its_call_failed(fleet, worker) {
        let address = ADDRESS.to_owned();
        let delay = Duration::from_secs(2);
        worker.faults().inject_next(model::TaskStart::PATH, fault::Fault::DelayedEffect(delay));
        fleet.reserve(&address, reserve("a", &[0])).await.unwrap();
        let error = fleet.start(&address, start("a")).await.unwrap_err();
        assert!(!error.fault.had_no_effect());
        assert!(fleet.runs().is_empty());
        clock::sleep(Duration::from_secs(3)).await;
        assert_eq!(fleet.runs().len(), 1);
    }

    paused_worker_answers_after_resuming(fleet, worker) {
        let address = ADDRESS.to_owned();
        fleet.reserve(&address, reserve("a", &[0])).await.unwrap();
        worker.pause();
        let caller = fleet.clone();
        let pending_renewal = tokio::spawn(async move { caller.renew(&address, renew("a")).await });
        clock::sleep(Duration::from_secs(40)).await;
        assert!(!pending_renewal.is_finished());
        worker.resume();
        assert_eq!(pending_renewal.await.unwrap().unwrap().lapsed, ["a"]);
    }
}
