//! Hall schedulers that answer as a test says.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use almondpass_peer::{call, error, link};
use almondpass_schema::{ids, model, time};
use tokio::sync::watch;
use uuid::Uuid;

use super::rows;

/// One answer to a grant request.
#[derive(Clone, Debug)]
pub(crate) enum GrantScript {
    Grant,
    GrantWith {
        start_by: Duration,
        term: Duration,
    },
    /// Grants, and the halls' beats are these from then on.
    GrantThenBeat(Vec<model::HallBeat>),
    Reply(model::GrantReply),
    Fault(error::CallFault),
}

#[derive(Clone, Debug)]
pub(crate) struct FakeHalls {
    state: Arc<Mutex<HallState>>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct HallState {
    addresses: Vec<ids::PeerAddress>,
    grants: VecDeque<GrantScript>,
    job: Option<Result<model::JobReply, error::CallFault>>,
    written: Option<(rows::FakeRows, model::JobRecord)>,
    beats: Vec<model::HallBeat>,
    asked: Vec<model::GrantRequest>,
    returns: Vec<model::GrantReturn>,
    reports: Vec<model::GrantReport>,
    submitted: Vec<model::JobSubmit>,
    n_granted: usize,
}

impl FakeHalls {
    /// Grants slots on these upstreams in turn.
    pub(crate) fn over(addresses: Vec<ids::PeerAddress>) -> FakeHalls {
        let state = HallState { addresses, ..HallState::default() };
        FakeHalls { state: Arc::new(Mutex::new(state)), changed: watch::Sender::new(0) }
    }

    pub(crate) fn next_grant(&self, script: GrantScript) {
        self.lock().grants.push_back(script);
    }

    pub(crate) fn answer_jobs(&self, reply: Result<model::JobReply, error::CallFault>) {
        self.lock().job = Some(reply);
    }

    /// Writes this row at the next submission.
    pub(crate) fn write_submitted(&self, rows: &rows::FakeRows, record: &model::JobRecord) {
        self.lock().written = Some((rows.clone(), record.clone()));
    }

    pub(crate) fn beat(&self, beats: Vec<model::HallBeat>) {
        self.lock().beats = beats;
    }

    pub(crate) fn asked(&self) -> Vec<model::GrantRequest> {
        self.lock().asked.clone()
    }

    pub(crate) fn submitted(&self) -> Vec<model::JobSubmit> {
        self.lock().submitted.clone()
    }

    /// The returns, once there are this many.
    pub(crate) async fn returns(&self, n_returns: usize) -> Vec<model::GrantReturn> {
        let mut changed = self.changed.subscribe();
        loop {
            let returns = self.lock().returns.clone();
            if n_returns <= returns.len() {
                return returns;
            }
            changed.changed().await.expect("the fake lives as long as the test");
        }
    }

    /// The reports, once there is one.
    pub(crate) async fn reports(&self) -> Vec<model::GrantReport> {
        let mut changed = self.changed.subscribe();
        loop {
            let reports = self.lock().reports.clone();
            if !reports.is_empty() {
                return reports;
            }
            changed.changed().await.expect("the fake lives as long as the test");
        }
    }

    fn grant(&self, request: &model::GrantRequest) -> Result<model::GrantReply, error::CallFault> {
        let mut state = self.lock();
        state.asked.push(request.clone());
        let (start_by, term) = match state.grants.pop_front() {
            Some(GrantScript::Reply(reply)) => return Ok(reply),
            Some(GrantScript::Fault(fault)) => return Err(fault),
            Some(GrantScript::GrantWith { start_by, term }) => (start_by, term),
            Some(GrantScript::GrantThenBeat(beats)) => {
                state.beats = beats;
                (Duration::from_secs(2), Duration::from_secs(60))
            }
            Some(GrantScript::Grant) | None => (Duration::from_secs(2), Duration::from_secs(60)),
        };
        let position = state.n_granted % state.addresses.len();
        state.n_granted += 1;
        let grant = model::SlotGrant {
            address: state.addresses[position].clone(),
            connections: 8,
            epoch: 1,
            grant: Uuid::now_v7(),
            hall: request.hall.clone(),
            lease: "serve/test".to_owned(),
            request: request.request,
            start_by: time::TimeSpan(start_by),
            term: time::TimeSpan(term),
            upstream: "weighdesk".to_owned(),
            worker: format!("worker-{position}"),
        };
        Ok(model::GrantReply::Granted { grant })
    }

    fn answer(&self, path: &str, call: &[u8]) -> Result<Vec<u8>, error::CallFault> {
        let reply = match path {
            <model::GrantRequest as call::PeerCall>::PATH => encode(&self.grant(&decode(call))?),
            <model::GrantReturns as call::PeerCall>::PATH => {
                self.lock().returns.extend(decode::<model::GrantReturns>(call).returns);
                encode(&model::ReturnReply::Noted)
            }
            <model::GrantReport as call::PeerCall>::PATH => {
                self.lock().reports.push(decode(call));
                encode(&model::ReturnReply::Noted)
            }
            <model::JobSubmit as call::PeerCall>::PATH => {
                self.lock().submitted.push(decode(call));
                if let Some((rows, record)) = self.lock().written.take() {
                    rows.insert(&record);
                }
                encode(&self.job()?)
            }
            _ => encode(&self.job()?),
        };
        self.changed.send_modify(|it| *it += 1);
        Ok(reply)
    }

    fn job(&self) -> Result<model::JobReply, error::CallFault> {
        self.lock().job.clone().unwrap_or(Ok(model::JobReply::NotFound))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HallState> {
        self.state.lock().expect("no test panics while it holds the fake")
    }
}

fn encode<V: serde::Serialize>(value: &V) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("messages encode")
}

fn decode<V: serde::de::DeserializeOwned>(bytes: &[u8]) -> V {
    rmp_serde::from_slice(bytes).expect("messages decode")
}

impl link::HallLink for FakeHalls {
    async fn ask<C: call::HallCall>(
        &self,
        call: C,
        _deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        match self.answer(C::PATH, &encode(&call)) {
            Ok(reply) => Ok(decode(&reply)),
            Err(fault) => {
                Err(error::CallError { step: C::PATH, peer: "10.0.0.9:7000".to_owned(), fault })
            }
        }
    }

    fn summaries(&self) -> Vec<model::HallBeat> {
        self.lock().beats.clone()
    }
}
