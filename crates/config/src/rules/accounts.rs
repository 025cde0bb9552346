//! Client accounts: keys, guarantees and limits.

use std::collections::HashMap;

use almondpass_schema::model;

use crate::fault;
use crate::path;
use crate::rules::names;

/// Characters of a SHA-256 in hex.
const HASH_CHARS: usize = 64;
/// Most keys of an account; two are needed while one is replaced.
const MAX_KEYS: usize = 16;
/// Most accounts.
const MAX_ACCOUNTS: usize = 1000;
/// Most guaranteed shapes of all accounts together; laying them out takes time for each.
const MAX_SHAPES: usize = 500;
/// Most work of an account that waits or runs.
const MAX_LIMIT: u32 = 1_000_000;

pub(super) fn check(document: &model::ConfigDocument, faults: &mut fault::FaultList<'_>) {
    let list = path::FieldPath::root().member("accounts");
    names::check_unique(document.accounts.iter().map(|it| it.id.as_str()), "id", &list, faults);
    let n_accounts = document.accounts.len();
    let expected = format!("at most {MAX_ACCOUNTS} accounts");
    faults.require(n_accounts <= MAX_ACCOUNTS, &list, expected, n_accounts);
    let n_shapes = document.accounts.iter().map(|it| it.guarantees.len()).sum::<usize>();
    let expected = format!("at most {MAX_SHAPES} guaranteed shapes");
    faults.require(n_shapes <= MAX_SHAPES, &list, expected, n_shapes);
    let mut owners = HashMap::new();
    for (index, account) in document.accounts.iter().enumerate() {
        let path = list.item(index);
        check_keys(account, &mut owners, &path.member("keys"), faults);
        check_guarantees(account, document, &path.member("guarantees"), faults);
        check_limits(account, &path.member("limits"), faults);
    }
}

/// Keys are named by their place alone: a fault that quoted one could carry a key that was
/// written in clear by mistake into a log.
fn check_keys<'a>(
    account: &'a model::ClientAccount,
    owners: &mut HashMap<&'a str, &'a str>,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let n_keys = account.keys.len();
    faults.require(n_keys <= MAX_KEYS, list, format!("at most {MAX_KEYS} keys"), n_keys);
    for (index, key) in account.keys.iter().enumerate() {
        let path = list.item(index);
        let hex = |it: u8| it.is_ascii_digit() || (b'a'..=b'f').contains(&it);
        let well_formed = key.len() == HASH_CHARS && key.bytes().all(hex);
        let found = format_args!("{} characters, not shown here", key.chars().count());
        faults.require(well_formed, &path, "a SHA-256 as 64 digits of lower-case hex", found);
        if let Some(owner) = owners.insert(key, &account.id) {
            faults.push(&path, "a key of one account", format!("one that {owner} has too"));
        }
    }
}

fn check_guarantees(
    account: &model::ClientAccount,
    document: &model::ConfigDocument,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    names::check_unique(account.guarantees.iter().map(|it| it.name.as_str()), "name", list, faults);
    for (index, shape) in account.guarantees.iter().enumerate() {
        let path = list.item(index);
        let n_accelerators = shape.accelerators;
        faults.require(
            0 < n_accelerators,
            &path.member("accelerators"),
            "at least 1",
            n_accelerators,
        );
        if let Some(hall) = &shape.hall {
            let halls = document.halls.iter().map(|it| it.name.as_str());
            names::check_known(hall, halls, "halls", &path.member("hall"), faults);
        }
    }
}

fn check_limits(
    account: &model::ClientAccount,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let limits = &account.limits;
    let counts = [
        ("queued_jobs", limits.queued_jobs),
        ("running_requests", limits.running_requests),
        ("queued_requests", limits.queued_requests),
    ];
    for (name, count) in counts {
        let in_range = (1..=MAX_LIMIT).contains(&count);
        faults.require(in_range, &path.member(name), format!("from 1 to {MAX_LIMIT}"), count);
    }
    let guaranteed =
        account.guarantees.iter().fold(0_u32, |sum, it| sum.saturating_add(it.accelerators));
    if let Some(most) = limits.accelerators {
        let expected = format!("at least the account's guarantees, {guaranteed}");
        faults.require(guaranteed <= most, &path.member("accelerators"), expected, most);
    }
}
