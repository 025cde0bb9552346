//! Number of table reads for watching many halls, and the time until their tenures are acquired.

use almondpass_peer::call::PeerCall;
use almondpass_ports::keys;
use almondpass_schema::model;
use almondpass_standin::fault::Condition;
use tokio::time::Instant;

use crate::support::{self, TestInstance, TestSite};

const N_HALLS: usize = 8;

/// Adds halls without workers and starts an instance that acquires all halls.
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

/// Number of table reads by each instance in the same minute, before any hall is handed over.
async fn reads_in_a_minute(instances: &[TestInstance]) -> Vec<u64> {
    let reads = |it: &TestInstance| it.table_faults.calls(model::TableGet::PATH);
    let before = instances.iter().map(reads).collect::<Vec<_>>();
    support::advance(support::secs(60)).await;
    instances.iter().zip(before).map(|(it, before)| reads(it) - before).collect()
}

cases! {
    /// Guards against reads of scheduler rows that make up nearly all of the traffic of an idle instance: the
    /// instance watches eight halls while nothing happens, and each contender reads the rows of its hall in a
    /// separate call.
    many_halls_share_one_read_per_interval(site) {
        let _holder = start_holder_of_all(&site).await;
        let idle = [site.start("b")];
        support::advance(support::secs(5)).await;
        let n_reads = reads_in_a_minute(&idle).await;
        // Contenders with the best preference ranks read eight times in a term of six seconds.
        assert!((79..=81).contains(&n_reads[0]), "{n_reads:?} reads in a minute");
    }

    /// Guards against separate reads for halls with different read intervals: an instance has a good
    /// preference rank for some halls and a low one for others, and requests that fall due soon after a read
    /// are not included in that read.
    halls_of_different_intervals_share_reads(site) {
        let _holder = start_holder_of_all(&site).await;
        let others = ["b", "c", "d", "e", "f"].map(|it| site.start(it));
        support::advance(support::secs(5)).await;
        let n_reads = reads_in_a_minute(&others).await;
        // Eight reads per term of some halls and three of others combine to three reads in two seconds.
        assert!(n_reads.iter().all(|it| *it <= 91), "{n_reads:?} reads in a minute");
    }

    /// Guards against halls of a dead instance that wait longer than its other halls for their next
    /// scheduler: the holder of eight halls dies, and the other instances read the rows of all halls
    /// together. A hall that is not due is left out of a read, or waits for a read that failed.
    halls_of_a_dead_holder_are_acquired_in_time(site) {
        let holder = start_holder_of_all(&site).await;
        let others = ["b", "c", "d"].map(|it| site.start(it));
        support::advance(support::secs(60)).await;
        holder.crash(&site);
        let died_at = Instant::now();
        let n_held = || others.iter().map(|it| it.service.summaries().len()).sum::<usize>();
        support::wait_until("the others hold all", async || n_held() == N_HALLS).await;
        let term = model::TimingSettings::default().scheduler_term.0;
        assert!(died_at.elapsed() <= term + support::secs(2), "took {:?}", died_at.elapsed());
    }

    /// Guards against live holders that are deposed as soon as the table is available again: the table
    /// refuses all calls for five terms, and a read that fails for all halls resets the observed rows of only
    /// some halls.
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
