//! What pages and the operators' API show of the fleet, gathered from the rest of the instance.

use std::time::Duration;

use almondpass_config::active;
use almondpass_peer::{error, link};
use almondpass_ports::table;
use almondpass_schema::{ids, model};
use futures_util::future;

use crate::console;

/// For a hall scheduler to answer; a page with one hall missing beats a page that hangs.
const PICTURE_DEADLINE: Duration = Duration::from_secs(2);

/// A hall's picture, or why there is none.
pub(crate) type PictureResult = Result<model::HallPicture, error::CallError>;

impl<T, L, H> console::ConsoleState<T, L, H>
where
    T: table::TableService,
    L: link::PeerLink,
    H: link::HallLink,
{
    /// The picture of one hall.
    pub(crate) async fn picture(&self, hall: &str) -> PictureResult {
        let query = model::HallQuery { hall: hall.to_owned() };
        match self.halls.ask(query, PICTURE_DEADLINE).await? {
            model::HallReply::Picture { picture } => Ok(picture),
            model::HallReply::NotHolder { holder } => Err(error::CallError {
                step: <model::HallQuery as almondpass_peer::call::PeerCall>::PATH,
                peer: holder.unwrap_or_else(|| "none".to_owned()),
                fault: error::CallFault::NotSent("no scheduler of the hall".to_owned()),
            }),
        }
    }

    /// The pictures of all halls of the configuration, asked for together.
    pub(crate) async fn pictures(
        &self,
        config: &active::ActiveConfig,
    ) -> Vec<(ids::HallName, PictureResult)> {
        let halls = config.document.halls.iter();
        let pictures = halls.map(async |it| (it.name.clone(), self.picture(&it.name).await));
        future::join_all(pictures).await
    }

    /// All halls with what their schedulers last said.
    pub(crate) fn hall_listing(&self, config: &active::ActiveConfig) -> model::HallListing {
        let beats = self.halls.summaries();
        let halls = config.document.halls.iter().map(|hall| model::HallSummary {
            hall: hall.name.clone(),
            data_center: hall.data_center.clone(),
            workers: hall.racks.iter().map(|it| it.workers).sum(),
            accelerators: hall.racks.iter().map(|it| rack_accelerators(config, it)).sum(),
            beat: newest_beat(&beats, &hall.name),
        });
        model::HallListing { halls: halls.collect() }
    }

    /// All workers, by hall.
    pub(crate) async fn worker_listing(
        &self,
        config: &active::ActiveConfig,
    ) -> model::WorkerListing {
        let pictures = self.pictures(config).await;
        let halls = pictures.into_iter().map(|(hall, picture)| match picture {
            Ok(picture) => model::HallWorkers { hall, workers: picture.workers, unavailable: None },
            Err(error) => {
                let unavailable = Some(error.to_string());
                model::HallWorkers { hall, workers: Vec::new(), unavailable }
            }
        });
        model::WorkerListing { halls: halls.collect() }
    }

    /// All upstreams with the workers that have them.
    pub(crate) fn upstream_listing(&self, config: &active::ActiveConfig) -> model::UpstreamListing {
        let members = self.members.borrow().clone();
        let upstreams = config.document.upstreams.iter().map(|upstream| {
            let services = members.workers.values().flat_map(|worker| {
                let services = worker.upstreams.iter().filter(|it| it.upstream == upstream.name);
                services.map(|it| it.leaving || worker.leaving)
            });
            let services = services.collect::<Vec<_>>();
            let n_leaving = services.iter().filter(|it| **it).count();
            let everywhere = |it: &model::DrainOrder| {
                it.worker.is_none() && it.upstream.as_ref() == Some(&upstream.name)
            };
            model::UpstreamSummary {
                upstream: upstream.name.clone(),
                halls: upstream.halls.clone(),
                live: count(services.len() - n_leaving),
                leaving: count(n_leaving),
                drained: config.document.drains.iter().any(everywhere),
            }
        });
        model::UpstreamListing { upstreams: upstreams.collect() }
    }

    /// Which version each instance has. Of this instance the keeper knows best.
    pub(crate) fn instance_configs(&self) -> Vec<model::InstanceConfig> {
        let members = self.members.borrow().clone();
        let own = self.keeper.active().version;
        let mut configs = members.instances.iter().map(|(instance, entry)| model::InstanceConfig {
            instance: instance.clone(),
            version: if *instance == self.instance { own } else { entry.config_version },
            leaving: entry.leaving,
        });
        let mut listed = configs.by_ref().collect::<Vec<_>>();
        if !members.instances.contains_key(&self.instance) {
            let instance = self.instance.clone();
            listed.push(model::InstanceConfig { instance, version: own, leaving: false });
        }
        listed
    }
}

fn newest_beat(beats: &[model::HallBeat], hall: &str) -> Option<model::HallBeat> {
    beats.iter().filter(|it| it.hall == hall).max_by_key(|it| it.epoch).cloned()
}

fn rack_accelerators(config: &active::ActiveConfig, rack: &model::RackLayout) -> u32 {
    config.worker_kind(&rack.kind).map_or(0, |it| it.accelerators * rack.workers)
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
