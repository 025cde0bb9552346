//! Tests of changes of the configuration, workers and upstreams.

use almondpass_membership::home;
use almondpass_schema::{model, time};

use crate::support;

cases! {
    /// Guards against grants of slots on an upstream that is leaving. They come about if a request is granted
    /// by the instance list of its arrival, or from a lease that was kept for later requests.
    a_leaving_upstream_gets_no_new_grant(site) {
        let instance = site.start_holder("a").await;
        let grant = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        site.change_members(|members| {
            let worker = members.workers.get_mut(&grant.worker).expect("a worker");
            worker.upstreams[0].leaving = true;
        });
        support::advance(support::secs(1)).await;
        for _ in 0..8 {
            let other = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
            assert_ne!(other.worker, grant.worker);
        }
    }

    a_drained_worker_gets_no_new_work(site) {
        let instance = site.start_holder("a").await;
        let grant = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        instance.return_grant(&grant, model::RequestOutcome::Done).await;
        site.change_config(|it| it.drains.push(model::DrainOrder {
            worker: Some(grant.worker.clone()),
            upstream: None,
            since: time::WallTime::default(),
        }));
        support::advance(support::secs(1)).await;
        for _ in 0..8 {
            let other = instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
            assert_ne!(other.worker, grant.worker);
        }
        site.change_config(|it| it.drains.clear());
        instance.run_gang(&site, support::REPEATABLE_JOB, support::N_WORKERS).await;
    }

    /// Guards against two failures while an upstream is drained on every worker: its requests get "busy" for
    /// ever, or are sent to the drained upstream.
    an_upstream_drained_on_all_workers_gets_no_grant(site) {
        let instance = site.start_holder("a").await;
        site.change_config(|it| it.drains.push(model::DrainOrder {
            worker: None,
            upstream: Some("oil-analysis".to_owned()),
            since: time::WallTime::default(),
        }));
        support::advance(support::secs(1)).await;
        let reply = instance.grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
        let refused = matches!(
            reply,
            model::GrantReply::Busy { .. } | model::GrantReply::Refused { .. }
        );
        assert!(refused, "found {reply:?}");
    }

    a_new_hall_gets_a_scheduler_and_a_removed_hall_loses_its(site) {
        let instance = site.start_holder("a").await;
        site.change_config(|it| {
            let mut hall = it.halls[0].clone();
            hall.name = "rajkot".to_owned();
            it.halls.push(hall);
        });
        support::wait_until("both are held", async || instance.service.held_halls().len() == 2).await;
        site.change_config(|it| it.halls.retain(|it| it.name != "rajkot"));
        support::wait_until("one is held", async || instance.service.held_halls().len() == 1).await;
        instance.expect_grant(support::request(&site, support::REPEATABLE_REQUEST)).await;
    }

    /// Guards against running a request twice, in two halls. That happens if the home hall of an idempotency
    /// key is computed from the upstream's current halls: after they change, a repeated key has another home.
    a_key_keeps_its_home_when_the_halls_change(site) {
        let before = model::UpstreamSpec {
            name: "u".to_owned(),
            halls: vec!["h1".to_owned(), "h2".to_owned()],
            former_halls: Vec::new(),
        };
        let until = site.now() + support::secs(60);
        let after = model::UpstreamSpec {
            halls: vec!["h3".to_owned(), "h4".to_owned(), "h5".to_owned()],
            former_halls: vec![model::FormerHalls { halls: before.halls.clone(), until }],
            ..before.clone()
        };
        for n in 0..100 {
            let key = support::key_made_at(site.now() + std::time::Duration::from_millis(n));
            assert_eq!(home::home_hall(&before, &key), home::home_hall(&after, &key));
            let younger = support::key_made_at(until + std::time::Duration::from_millis(n));
            let home = home::home_hall(&after, &younger).expect("a home");
            assert!(after.halls.iter().any(|it| it == home));
        }
    }
}
