//! Whether the guarantees fit the halls, each by itself and all together.

use almondpass_policy::{hall_policy, homes};
use almondpass_schema::model;

use crate::fault;
use crate::path;

pub(super) fn check(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let list = path::FieldPath::root().member("accounts");
    for (index, account) in document.accounts.iter().enumerate() {
        let shapes = list.item(index).member("guarantees");
        for (index, shape) in account.guarantees.iter().enumerate() {
            let Some(most) = largest_block(shape, document) else {
                continue;
            };
            let fits = shape.accelerators <= most;
            let expected = format!("at most {most}, the most that lie so close");
            let path = shapes.item(index).member("accelerators");
            faults.require(fits, &path, expected, shape.accelerators);
        }
    }
    // The assignment lays out every accelerator: of a rack with a slip of the pen, such as
    // 4,000,000,000 workers, it would lay out more than the memory holds.
    if faults.is_empty() {
        check_together(document, faults);
    }
}

/// Largest block of the shape's adjacency in the halls where it may live; `None` where there is
/// no such hall, which has a fault of its own.
fn largest_block(shape: &model::GuaranteedShape, document: &model::ConfigDocument) -> Option<u32> {
    let halls =
        document.halls.iter().filter(|it| shape.hall.as_ref().is_none_or(|home| *home == it.name));
    let blocks = halls.map(|hall| match shape.adjacency {
        model::Adjacency::Any | model::Adjacency::Hall => hall_accelerators(hall, document),
        model::Adjacency::Rack => {
            hall.racks.iter().map(|it| rack_accelerators(it, document)).max().unwrap_or(0)
        }
        model::Adjacency::Worker => {
            hall.racks.iter().map(|it| worker_accelerators(it, document)).max().unwrap_or(0)
        }
    });
    blocks.max()
}

/// Lays the shapes beside each other as the policy does, so that a document that is accepted here
/// is never refused by a hall's scheduler.
fn check_together(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let Err(fault) = homes::assign(document) else {
        return;
    };
    let hall_policy::PolicyFault::GuaranteeUnfit { account, guarantee, hall, detail } = fault
    else {
        return faults.push(
            &path::FieldPath::root(),
            "halls for the guarantees",
            fault.to_string(),
        );
    };
    let path = shape_path(document, &account, &guarantee);
    let expected = format!("room for it in hall {hall} beside the other guarantees");
    faults.push(&path, expected, detail);
}

fn shape_path(document: &model::ConfigDocument, account: &str, guarantee: &str) -> path::FieldPath {
    let list = path::FieldPath::root().member("accounts");
    let Some(index) = document.accounts.iter().position(|it| it.id == account) else {
        return list;
    };
    let shapes = list.item(index).member("guarantees");
    let guarantees = &document.accounts[index].guarantees;
    match guarantees.iter().position(|it| it.name == guarantee) {
        Some(index) => shapes.item(index),
        None => shapes,
    }
}

/// Accelerators of a hall, as many as a number holds.
pub(super) fn hall_accelerators(hall: &model::HallLayout, document: &model::ConfigDocument) -> u32 {
    let racks = hall.racks.iter().map(|it| rack_accelerators(it, document));
    racks.fold(0, u32::saturating_add)
}

fn rack_accelerators(rack: &model::RackLayout, document: &model::ConfigDocument) -> u32 {
    worker_accelerators(rack, document).saturating_mul(rack.workers)
}

fn worker_accelerators(rack: &model::RackLayout, document: &model::ConfigDocument) -> u32 {
    let kind = document.worker_kinds.iter().find(|it| it.name == rack.kind);
    kind.map_or(0, |it| it.accelerators)
}
