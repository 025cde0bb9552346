//! Encoding of rows and objects as MessagePack maps with named fields.

use almondpass_schema::{blob, model};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error;

pub(crate) fn encode<T: Serialize>(value: &T) -> blob::Blob {
    let bytes = rmp_serde::to_vec_named(value).expect("rows of the schema always encode");
    blob::Blob::from(bytes)
}

/// Decodes a row or an object; `step` names the failed operation in the error.
pub(crate) fn decode<T: DeserializeOwned>(
    step: &'static str,
    value: &blob::Blob,
) -> Result<T, error::HallError> {
    rmp_serde::from_slice(value)
        .map_err(|it| error::HallError::Unreadable { step, detail: it.to_string() })
}

/// Decodes a row; `None` if the row doesn't exist.
pub(crate) fn decode_row<T: DeserializeOwned>(
    step: &'static str,
    row: &model::TableRow,
) -> Result<Option<T>, error::HallError> {
    row.value.as_ref().map(|it| decode(step, it)).transpose()
}
