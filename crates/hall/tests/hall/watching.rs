//! What it costs to watch many halls.

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::fault::Condition;
use tokio::time::Instant;

use crate::support::{self, TestInstance, TestSite};

const N_HALLS: usize = 8;

/// Adds halls without workers, and starts an instance that takes all.
async fn start_holder_of_all(site: &TestSite) -> TestInstance {
    site.change_config(|document| {
        let first = document.halls[0].clone();
        let more = (1..N_HALLS).map(|it| model::HallLayout {
            name: format!("hall-{it}"),
            racks: Vec::new(),
            ..first.clone()
        });
        document.halls.extend(more);
    });
    let holder = site.start_holder("a").await;
    let all = async || holder.service.summaries().len() == N_HALLS;
    support::wait_until("the first instance schedules all halls", all).await;
    holder
}

/// Reads of the table by each instance in the same minute, before any hall is handed on.
async fn reads_in_a_minute(instances: &[TestInstance]) -> Vec<u64> {
    let reads = |it: &TestInstance| it.table_faults.calls(model::TableGet::PATH);
    let before = instances.iter().map(reads).collect::<Vec<_>>();
    support::advance(support::secs(60)).await;
    instances.iter().zip(before).map(|(it, before)| reads(it) - before).collect()
}

cases! {
    /// Symptom: nearly all bytes of an idle instance are reads of who schedules which hall.
    /// Sequence: it watches eight halls, and nothing happens.
    /// Cause: each seat reads the rows of its hall by itself.
    many_halls_cost_one_read_an_interval(site) {
        let _holder = start_holder_of_all(&site).await;
        let idle = [site.start("b")];
        support::advance(support::secs(5)).await;
        let n_reads = reads_in_a_minute(&idle).await;
        // The most preferred look eight times a term of six seconds.
        assert!((79..=81).contains(&n_reads[0]), "{n_reads:?} reads in a minute");
    }

    /// Symptom: a read for each of the intervals at which halls are looked at.
    /// Sequence: an instance is among the preferred of some halls and not of others.
    /// Cause: looks that are due soon after a read wait for a read of their own.
    halls_of_different_intervals_share_reads(site) {
        let _holder = start_holder_of_all(&site).await;
        let others = ["b", "c", "d", "e", "f"].map(|it| site.start(it));
        support::advance(support::secs(5)).await;
        let n_reads = reads_in_a_minute(&others).await;
        // Eight looks a term at some and three at others are three reads in two seconds.
        assert!(n_reads.iter().all(|it| *it <= 91), "{n_reads:?} reads in a minute");
    }

    /// Symptom: some halls of a dead instance wait longer than others for the next scheduler.
    /// Sequence: the holder of eight halls dies; the others read all halls together.
    /// Cause: halls that are not due are left out of a read, or wait for one that failed.
    all_halls_of_a_dead_holder_are_followed_in_time(site) {
        let holder = start_holder_of_all(&site).await;
        let others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(60)).await;
        holder.crash(&site);
        let died = Instant::now();
        let n_held = || others.iter().map(|it| it.service.summaries().len()).sum::<usize>();
        support::wait_until("the others hold all", async || n_held() == N_HALLS).await;
        let term = model::TimingSettings::default().scheduler_term.0;
        assert!(died.elapsed() <= term + support::secs(2), "took {:?}", died.elapsed());
    }

    /// Symptom: live holders are deposed in the moment the table comes back.
    /// Sequence: nobody can read or write for five terms.
    /// Cause: a read that fails for all halls resets what was seen of only some.
    an_outage_deposes_no_holder_of_many_halls(site) {
        let holder = start_holder_of_all(&site).await;
        let _others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(5)).await;
        site.table.faults().set(Condition::Refusing);
        support::advance(support::secs(30)).await;
        site.table.faults().set(Condition::Up);
        support::advance(support::secs(20)).await;
        let config = site.config.borrow().clone();
        for hall in &config.document.halls {
            let row = site.row::<model::SchedulerRow>(&keys::scheduler(&hall.name));
            let row = row.expect("a scheduler");
            assert_eq!((row.holder.as_str(), row.epoch), (holder.id.as_str(), 1));
        }
    }
}
