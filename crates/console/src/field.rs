//! Inputs of the draft forms. The name of an input says how its text becomes a value and where
//! in the draft the value goes: `number:/accounts/0/limits/queued_jobs`.

use std::fmt;
use std::str::FromStr;

/// How the text of an input becomes a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FieldKind {
    /// Text; empty takes the member out of the document where it may be absent.
    Text,
    /// Text that the document always has, empty or not.
    RequiredText,
    /// A number; other text stays as it was typed, for the check to name it.
    Number,
    /// `yes` or `no`.
    Flag,
    /// A list, one item a line.
    Lines,
    /// A list of those that are ticked; an empty value marks the input as present.
    Choices,
    /// A client key in clear, whose hash is added to a list.
    NewKey,
}

/// Name of an input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FieldName {
    pub(crate) kind: FieldKind,
    /// JSON pointer of the value in the draft.
    pub(crate) pointer: String,
}

impl FieldKind {
    const ALL: [FieldKind; 7] = [
        FieldKind::Text,
        FieldKind::RequiredText,
        FieldKind::Number,
        FieldKind::Flag,
        FieldKind::Lines,
        FieldKind::Choices,
        FieldKind::NewKey,
    ];

    fn as_str(self) -> &'static str {
        match self {
            FieldKind::Text => "text",
            FieldKind::RequiredText => "required-text",
            FieldKind::Number => "number",
            FieldKind::Flag => "flag",
            FieldKind::Lines => "lines",
            FieldKind::Choices => "choices",
            FieldKind::NewKey => "new-key",
        }
    }
}

impl FieldName {
    pub(crate) fn new(kind: FieldKind, pointer: &str) -> FieldName {
        FieldName { kind, pointer: pointer.to_owned() }
    }
}

impl fmt::Display for FieldName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.kind.as_str(), self.pointer)
    }
}

impl FromStr for FieldName {
    type Err = ();

    fn from_str(text: &str) -> Result<FieldName, ()> {
        let (kind, pointer) = text.split_once(":/").ok_or(())?;
        let kind = FieldKind::ALL.into_iter().find(|it| it.as_str() == kind).ok_or(())?;
        Ok(FieldName { kind, pointer: format!("/{pointer}") })
    }
}
