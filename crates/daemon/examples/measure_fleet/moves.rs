//! How long halls and configurations take to move.

use std::time::Duration;

use almondpass_schema::ids;
use anyhow::{Context, ensure};
use tokio::time::{self, Instant};

use crate::fleet;

/// Accepts changes; tells how long each took from the accepting write to the last instance.
pub(crate) async fn change_configuration(
    fleet: &mut fleet::BenchFleet,
    n_changes: usize,
) -> anyhow::Result<Vec<Duration>> {
    let mut spans = Vec::new();
    for n in 0..n_changes {
        let mut document = fleet.document.clone();
        document.accounts[0].name = format!("renamed {n}");
        fleet.accept(document).await?;
        let accepted = Instant::now();
        let version = fleet.version;
        while fleet.instances.values().any(|it| it.config_version() < version) {
            ensure!(accepted.elapsed() < fleet::LIMIT, "version {version} is not in force");
            time::sleep(Duration::from_millis(2)).await;
        }
        spans.push(accepted.elapsed());
        // Away from the beat of the polls.
        time::sleep(Duration::from_millis(370)).await;
    }
    Ok(spans)
}

/// Replaces holders; tells for each hall how long no scheduler answered for it.
pub(crate) async fn hand_over(
    fleet: &mut fleet::BenchFleet,
    n_moves: usize,
) -> anyhow::Result<Vec<Duration>> {
    let mut spans = Vec::new();
    for _ in 0..n_moves {
        let (leaver, halls) = busiest(fleet).context("no holder")?;
        fleet.add().await?;
        time::sleep(Duration::from_secs(2)).await;
        let instance = fleet.instances.remove(&leaver).context("no such instance")?;
        fleet.platform.fakes.instances().remove(&leaver);
        let leaving = tokio::spawn(instance.shut_down());
        let waits = halls.iter().map(|hall| gap(fleet, hall, &leaver));
        for span in futures_util::future::join_all(waits).await {
            spans.push(span?);
        }
        leaving.await??;
    }
    Ok(spans)
}

/// Kills holders; tells for each hall how long it took until a scheduler answered for it.
pub(crate) async fn crash(
    fleet: &mut fleet::BenchFleet,
    n_moves: usize,
) -> anyhow::Result<Vec<Duration>> {
    let mut spans = Vec::new();
    for _ in 0..n_moves {
        let (victim, halls) = busiest(fleet).context("no holder")?;
        fleet.add().await?;
        time::sleep(Duration::from_secs(2)).await;
        let instance = fleet.instances.remove(&victim).context("no such instance")?;
        fleet.platform.fakes.instances().remove(&victim);
        instance.crash();
        let crashed = Instant::now();
        let waits = halls.iter().map(|hall| fleet.await_hall(hall, |row| row.holder != victim));
        for answered in futures_util::future::join_all(waits).await {
            spans.push(answered? - crashed);
        }
    }
    Ok(spans)
}

/// The instance that schedules most halls, and those.
fn busiest(fleet: &fleet::BenchFleet) -> Option<(ids::InstanceId, Vec<ids::HallName>)> {
    let of = |id: &ids::InstanceId| {
        let held = |hall: &ids::HallName| fleet.row(hall).is_some_and(|it| it.holder == *id);
        fleet.halls().into_iter().filter(held).collect::<Vec<_>>()
    };
    let halls = fleet.instances.keys().map(|id| (id.clone(), of(id)));
    halls.max_by_key(|(_, halls)| halls.len())
}

/// From the moment at which the hall is given up to the first answer of the next scheduler.
async fn gap(
    fleet: &fleet::BenchFleet,
    hall: &ids::HallName,
    leaver: &ids::InstanceId,
) -> anyhow::Result<Duration> {
    let started = Instant::now();
    loop {
        ensure!(started.elapsed() < fleet::LIMIT, "{hall} is not given up");
        let row = fleet.row(hall).context("no row")?;
        if row.released || row.holder != *leaver {
            break;
        }
        time::sleep(Duration::from_millis(1)).await;
    }
    let given_up = Instant::now();
    Ok(fleet.await_hall(hall, |row| row.holder != *leaver).await? - given_up)
}
