//! The object store, guarded.

use std::sync::Arc;
use std::time::Duration;

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_schema::model;
use tokio::time::Instant;

use crate::guard;
use crate::objects;
use crate::store;
use crate::write_cap;

/// An object store whose calls are repeated within the budget, and whose puts are settled by
/// reading back: an object holds a value that no other writer writes.
#[derive(Clone, Debug)]
pub struct StoreObjects<O> {
    objects: O,
    guard: Arc<guard::CallGuard>,
    cap: Arc<write_cap::WriteCap>,
    patience: Duration,
}

const PUT: &str = model::ObjectPut::PATH;

impl<O: objects::ObjectStore> StoreObjects<O> {
    pub(crate) fn new(
        objects: O,
        guard: Arc<guard::CallGuard>,
        cap: Arc<write_cap::WriteCap>,
        config: store::StoreConfig,
    ) -> StoreObjects<O> {
        StoreObjects { objects, guard, cap, patience: config.patience }
    }

    /// Whose object stands after a put that may have been ours.
    async fn settle(
        &self,
        put: &model::ObjectPut,
        expires: Instant,
    ) -> Result<Option<model::ObjectPutOutcome>, error::CallError> {
        let get = model::ObjectGet { key: put.key.clone() };
        let read = || self.objects.get(get.clone());
        let found = self.guard.repeat(model::ObjectGet::PATH, expires, read).await?;
        Ok(found.value.map(|it| {
            if it == put.value {
                model::ObjectPutOutcome::Created
            } else {
                model::ObjectPutOutcome::Exists
            }
        }))
    }
}

impl<O: objects::ObjectStore> objects::ObjectStore for StoreObjects<O> {
    async fn put(
        &self,
        put: model::ObjectPut,
    ) -> Result<model::ObjectPutOutcome, error::CallError> {
        let expires = Instant::now() + self.patience;
        let mut waits = self.guard.begin();
        let mut doubt = None::<error::CallError>;
        loop {
            if self.cap.acquire(expires).await.is_none() {
                let reason = "our own cap on writes used up".to_owned();
                let error = self.guard.error(PUT, error::CallFault::NotSent(reason));
                return Err(doubt.unwrap_or(error));
            }
            let error = match self.guard.attempt(PUT, self.objects.put(put.clone())).await {
                Ok(model::ObjectPutOutcome::Exists) if doubt.is_some() => {
                    let settled = self.settle(&put, expires).await;
                    return match (settled, doubt) {
                        (Ok(Some(outcome)), _) => Ok(outcome),
                        (_, Some(doubt)) => Err(doubt),
                        (_, None) => Ok(model::ObjectPutOutcome::Exists),
                    };
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            if !error.fault.had_no_effect() {
                doubt = Some(error.clone());
            }
            let given_up = doubt.clone().unwrap_or_else(|| error.clone());
            if !self.guard.may_retry(&mut waits, &error, expires).await {
                return Err(given_up);
            }
            if doubt.is_some() {
                match self.settle(&put, expires).await {
                    Ok(Some(outcome)) => return Ok(outcome),
                    Ok(None) => {}
                    Err(_) => return Err(given_up),
                }
            }
        }
    }

    async fn get(&self, get: model::ObjectGet) -> Result<model::ObjectFound, error::CallError> {
        let expires = Instant::now() + self.patience;
        let read = || self.objects.get(get.clone());
        self.guard.repeat(model::ObjectGet::PATH, expires, read).await
    }

    async fn list(&self, list: model::ObjectList) -> Result<model::ObjectKeys, error::CallError> {
        let expires = Instant::now() + self.patience;
        let read = || self.objects.list(list.clone());
        self.guard.repeat(model::ObjectList::PATH, expires, read).await
    }
}
