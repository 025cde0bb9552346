//! What a configuration costs an instance: reading, checking, comparing.
//! `cargo bench -p almondpass-config`; sizes are printed first.

use almondpass_config::{canonical, changes, document};
use almondpass_peer::codec;
use almondpass_schema::model;

/// Documents of today's size and of the size that is expected within two years.
#[derive(Clone, Copy, Debug)]
enum DocumentSize {
    Today,
    TwoYears,
}

const SIZES: [DocumentSize; 2] = [DocumentSize::Today, DocumentSize::TwoYears];

fn main() {
    for size in SIZES {
        let document = sample(size);
        let text = canonical::to_yaml(&document).len();
        let message = codec::encode(&document).unwrap().len();
        println!("{size:?}: {text} bytes of YAML, {message} bytes of MessagePack");
    }
    divan::main();
}

#[divan::bench(args = SIZES)]
fn check_text(bencher: divan::Bencher<'_, '_>, size: DocumentSize) {
    let text = canonical::to_yaml(&sample(size));
    bencher.bench(|| document::check("bench", &text).unwrap());
}

#[divan::bench(args = SIZES)]
fn decode_and_check_rules(bencher: divan::Bencher<'_, '_>, size: DocumentSize) {
    let message = codec::encode(&sample(size)).unwrap();
    bencher.bench(|| {
        let document = codec::decode::<model::ConfigDocument>(&message).unwrap();
        almondpass_config::rules::check("bench", &document).unwrap();
    });
}

#[divan::bench(args = SIZES)]
fn list_changes(bencher: divan::Bencher<'_, '_>, size: DocumentSize) {
    let before = sample(size);
    let mut after = before.clone();
    after.accounts[0].limits.queued_jobs += 1;
    bencher.bench(|| changes::between(&before, &after));
}

fn sample(size: DocumentSize) -> model::ConfigDocument {
    let text = include_str!("../../../examples/laboratories.config.yaml");
    let today = document::check("bench", text).unwrap();
    match size {
        DocumentSize::Today => today,
        DocumentSize::TwoYears => two_years(today),
    }
}

/// 8 halls of 163 workers with an accelerator each, 22 accounts.
fn two_years(mut document: model::ConfigDocument) -> model::ConfigDocument {
    document.worker_kinds[0].accelerators = 1;
    let hall = document.halls[0].clone();
    document.halls.clear();
    for number in 1..=8 {
        let rack = |index: u32| model::RackLayout {
            name: format!("r{index:02}"),
            workers: if index == 21 { 3 } else { 8 },
            kind: "standard".to_owned(),
        };
        document.halls.push(model::HallLayout {
            name: format!("hall-{number}"),
            data_center: format!("dc-{number}"),
            racks: (1..=21).map(rack).collect(),
            ..hall.clone()
        });
    }
    document.upstreams[0].halls = document.halls.iter().map(|it| it.name.clone()).collect();
    let account = document.accounts[3].clone();
    document.accounts.clear();
    for number in 0..22 {
        let mut account = account.clone();
        account.id = format!("team-{number}");
        account.keys = vec![format!("{number:064x}"), format!("{:064x}", number + 1000)];
        account.guarantees[0].hall = Some(format!("hall-{}", number % 8 + 1));
        account.guarantees[0].adjacency = model::Adjacency::Rack;
        document.accounts.push(account);
    }
    document
}
