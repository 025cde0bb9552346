//! Client of the object store with retries and a cap on writes.

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

/// An object store client that retries calls within the retry budget. If the answer to a put was lost,
/// the object is read back: its value shows who wrote it, since no other writer writes the same value.
#[derive(Clone, Debug)]
pub struct StoreObjects<O> {
    objects: O,
    guard: Arc<guard::CallGuard>,
    cap: Arc<write_cap::WriteCap>,
    call_timeout: Duration,
}

const PUT: &str = model::ObjectPut::PATH;

impl<O: objects::ObjectStore> StoreObjects<O> {
    pub(crate) fn new(
        objects: O,
        guard: Arc<guard::CallGuard>,
        cap: Arc<write_cap::WriteCap>,
        config: store::StoreConfig,
    ) -> StoreObjects<O> {
        StoreObjects { objects, guard, cap, call_timeout: config.call_timeout }
    }

    /// Reads the object back after a put that may have taken effect: `Created` if it holds the value of
    /// this put, `Exists` if another value, `None` if there is no object.
    async fn settle(
        &self,
        put: &model::ObjectPut,
        expires: Instant,
    ) -> Result<Option<model::ObjectPutOutcome>, error::CallError> {
        let get = model::ObjectGet { key: put.key.clone() };
        let read = || self.objects.get(get.clone());
        let found = self.guard.call_with_retries(model::ObjectGet::PATH, expires, read).await?;
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
        let expires = Instant::now() + self.call_timeout;
        let mut waits = self.guard.begin();
        let mut ambiguous_error = None::<error::CallError>;
        loop {
            if self.cap.acquire(expires).await.is_none() {
                let reason = "our own cap on writes used up".to_owned();
                let error = self.guard.error(PUT, error::CallFault::NotSent(reason));
                return Err(ambiguous_error.unwrap_or(error));
            }
            let error = match self.guard.attempt(PUT, self.objects.put(put.clone())).await {
                Ok(model::ObjectPutOutcome::Exists) if ambiguous_error.is_some() => {
                    let settled = self.settle(&put, expires).await;
                    return match (settled, ambiguous_error) {
                        (Ok(Some(outcome)), _) => Ok(outcome),
                        (_, Some(ambiguous_error)) => Err(ambiguous_error),
                        (_, None) => Ok(model::ObjectPutOutcome::Exists),
                    };
                }
                Ok(outcome) => return Ok(outcome),
                Err(error) => error,
            };
            if !error.fault.had_no_effect() {
                ambiguous_error = Some(error.clone());
            }
            let final_error = ambiguous_error.clone().unwrap_or_else(|| error.clone());
            if !self.guard.wait_for_retry(&mut waits, &error, expires).await {
                return Err(final_error);
            }
            if ambiguous_error.is_some() {
                match self.settle(&put, expires).await {
                    Ok(Some(outcome)) => return Ok(outcome),
                    Ok(None) => {}
                    Err(_) => return Err(final_error),
                }
            }
        }
    }

    async fn get(&self, get: model::ObjectGet) -> Result<model::ObjectFound, error::CallError> {
        let expires = Instant::now() + self.call_timeout;
        let read = || self.objects.get(get.clone());
        self.guard.call_with_retries(model::ObjectGet::PATH, expires, read).await
    }

    async fn list(&self, list: model::ObjectList) -> Result<model::ObjectKeys, error::CallError> {
        let expires = Instant::now() + self.call_timeout;
        let read = || self.objects.list(list.clone());
        self.guard.call_with_retries(model::ObjectList::PATH, expires, read).await
    }
}
