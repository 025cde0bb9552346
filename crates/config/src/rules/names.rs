//! Names: how they are spelt, that each stands once, and that what they name exists.

use std::collections::HashSet;

use crate::fault;
use crate::path;

/// Longest name. Names are parts of row keys, which hold 128 characters.
const MAX_NAME_CHARS: usize = 48;

const SPELLING: &str = "1 to 48 of a-z, 0-9 and -, beginning and ending with a letter or digit";

/// Requires the spelling of a name. A slash in a name would make one row's key the prefix of
/// another's, and an account would read the jobs of another.
pub(super) fn check_spelling(
    name: &str,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    faults.require(is_name(name), path, SPELLING, format_args!("{name:?}"));
}

/// Requires the spelling of all names of a list, and that each stands in it once.
pub(super) fn check_unique<'a>(
    names: impl IntoIterator<Item = &'a str>,
    member: &str,
    list: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let mut seen = HashSet::new();
    for (index, name) in names.into_iter().enumerate() {
        let path = list.item(index).member(member);
        check_spelling(name, &path, faults);
        faults.require(
            seen.insert(name),
            &path,
            "a name that stands once",
            format_args!("{name:?} again"),
        );
    }
}

/// Requires that `name` is among `known`, which are `things`.
pub(super) fn check_known<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
    things: &str,
    path: &path::FieldPath,
    faults: &mut fault::FaultList<'_>,
) {
    let known = known.into_iter().collect::<Vec<_>>();
    let expected = format!("one of the {things} ({})", known.join(", "));
    faults.require(known.contains(&name), path, expected, format_args!("{name:?}"));
}

fn is_name(name: &str) -> bool {
    let inner = |it: u8| it.is_ascii_lowercase() || it.is_ascii_digit() || it == b'-';
    let edge = |it: Option<&u8>| it.is_some_and(|it| *it != b'-');
    let bytes = name.as_bytes();
    bytes.len() <= MAX_NAME_CHARS
        && bytes.iter().copied().all(inner)
        && edge(bytes.first())
        && edge(bytes.last())
}
