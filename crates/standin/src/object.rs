//! A fake of the platform's object store, in memory.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex};

use almondpass_peer::call::PeerCall;
use almondpass_peer::error;
use almondpass_ports::objects;
use almondpass_schema::{blob, ids, model};

use crate::fault;
use crate::state;

/// A handle to the fake object store. Clones share the objects.
#[derive(Clone, Debug, Default)]
pub struct ObjectFake {
    objects: Arc<Mutex<ObjectMap>>,
    service_faults: fault::FaultPlan,
    path_faults: fault::FaultPlan,
}

/// Peer name of the object store in call errors.
const PEER: &str = "objects";

type ObjectMap = BTreeMap<ids::ObjectKey, blob::Blob>;

impl ObjectFake {
    /// An empty store.
    pub fn new() -> ObjectFake {
        ObjectFake::default()
    }

    /// A handle to the same store whose calls also get the faults of `path_faults`, for example of the path
    /// from one instance.
    pub fn with_path_faults(&self, path_faults: fault::FaultPlan) -> ObjectFake {
        ObjectFake { path_faults, ..self.clone() }
    }

    /// Faults of the service itself, for every caller.
    pub fn faults(&self) -> &fault::FaultPlan {
        &self.service_faults
    }

    /// Current keys that begin with `prefix`. Ignores injected faults; for the checks of oracles.
    pub fn peek(&self, prefix: &str) -> Vec<ids::ObjectKey> {
        let keys = state::lock(&self.objects);
        keys.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    async fn call_with_faults<T: Send + 'static>(
        &self,
        step: &'static str,
        effect: impl FnOnce(&mut ObjectMap) -> T + Send + 'static,
    ) -> Result<T, error::CallError> {
        let objects = Arc::clone(&self.objects);
        let effect = move || effect(&mut state::lock(&objects));
        fault::call_through(&[&self.path_faults, &self.service_faults], PEER, step, effect).await
    }
}

impl objects::ObjectStore for ObjectFake {
    async fn put(
        &self,
        put: model::ObjectPut,
    ) -> Result<model::ObjectPutOutcome, error::CallError> {
        self.call_with_faults(model::ObjectPut::PATH, move |objects| create(objects, put)).await
    }

    async fn get(&self, get: model::ObjectGet) -> Result<model::ObjectFound, error::CallError> {
        let step = model::ObjectGet::PATH;
        let read = move |objects: &mut ObjectMap| objects.get(&get.key).cloned();
        self.call_with_faults(step, move |objects| model::ObjectFound { value: read(objects) })
            .await
    }

    async fn list(&self, list: model::ObjectList) -> Result<model::ObjectKeys, error::CallError> {
        self.call_with_faults(model::ObjectList::PATH, move |objects| keys_of(objects, &list)).await
    }
}

fn create(objects: &mut ObjectMap, put: model::ObjectPut) -> model::ObjectPutOutcome {
    if objects.contains_key(&put.key) {
        return model::ObjectPutOutcome::Exists;
    }
    objects.insert(put.key, put.value);
    model::ObjectPutOutcome::Created
}

fn keys_of(objects: &ObjectMap, list: &model::ObjectList) -> model::ObjectKeys {
    let first = match &list.after {
        Some(after) if list.prefix <= *after => Bound::Excluded(after.clone()),
        _ => Bound::Included(list.prefix.clone()),
    };
    let in_prefix = objects.range((first, Bound::Unbounded)).map(|(key, _)| key);
    let mut in_prefix = in_prefix.take_while(|it| it.starts_with(&list.prefix));
    let limit = usize::try_from(list.limit).unwrap_or(usize::MAX);
    let keys = in_prefix.by_ref().take(limit).cloned().collect();
    model::ObjectKeys { keys, more: in_prefix.next().is_some() }
}
