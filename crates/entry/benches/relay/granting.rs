//! A scheduler that grants at once, so that only the entry is measured.

use std::any::Any;
use std::time::Duration;

use almondpass_peer::{call, error, link};
use almondpass_ports::table;
use almondpass_schema::{ids, model, time};
use uuid::Uuid;

/// Grants slots on one upstream.
#[derive(Clone, Debug)]
pub(crate) struct GrantingHalls {
    pub(crate) upstream: ids::PeerAddress,
    pub(crate) connections: u32,
}

impl link::HallLink for GrantingHalls {
    async fn ask<C: call::HallCall>(
        &self,
        call: C,
        _deadline: Duration,
    ) -> Result<C::Reply, error::CallError> {
        let call: &dyn Any = &call;
        let reply: Box<dyn Any + Send> = match call.downcast_ref::<model::GrantRequest>() {
            Some(request) => Box::new(self.grant(request)),
            None => Box::new(model::ReturnReply::Noted),
        };
        Ok(*reply.downcast().expect("only grants are asked for and returned"))
    }

    fn summaries(&self) -> Vec<model::HallBeat> {
        Vec::new()
    }
}

impl GrantingHalls {
    fn grant(&self, request: &model::GrantRequest) -> model::GrantReply {
        let grant = model::SlotGrant {
            address: self.upstream.clone(),
            connections: self.connections,
            epoch: 1,
            grant: Uuid::now_v7(),
            hall: request.hall.clone(),
            lease: "serve/bench".to_owned(),
            request: request.request,
            start_by: time::TimeSpan::from_secs(2),
            term: time::TimeSpan::from_secs(60),
            upstream: "weighdesk".to_owned(),
            worker: "rustavi-r1-01".to_owned(),
        };
        model::GrantReply::Granted { grant }
    }
}

/// A table that nobody asks.
#[derive(Clone, Debug)]
pub(crate) struct NoRows;

impl table::TableService for NoRows {
    async fn transact(
        &self,
        _: model::TableTransaction,
    ) -> Result<model::TableOutcome, error::CallError> {
        unreachable!()
    }

    async fn get(&self, _: model::TableGet) -> Result<model::TableRows, error::CallError> {
        unreachable!()
    }

    async fn scan(&self, _: model::TableScan) -> Result<model::TableRows, error::CallError> {
        unreachable!()
    }
}
