//! Spans and points of time are the same after any way of travelling.

use std::fmt;

use almondpass_schema::time;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Symptom: the first submission of a job was refused as another one under its key, while the job
/// ran. Sequence: a run time with nanoseconds came as JSON, went to the hall's scheduler as
/// MessagePack and came back. Cause: MessagePack carries microseconds, so the two differed.
fn check<T>(text: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + fmt::Debug,
{
    let read = serde_json::from_str::<T>(&format!("{text:?}")).expect("JSON");
    let packed = rmp_serde::to_vec_named(&read).expect("MessagePack");
    assert_eq!(rmp_serde::from_slice::<T>(&packed).expect("MessagePack"), read);
    let again = serde_json::to_string(&read).expect("JSON");
    assert_eq!(serde_json::from_str::<T>(&again).expect("JSON"), read);
}

macro_rules! travels {
    ($($name:ident: $kind:ident $text:literal;)*) => {
        $(#[test]
        fn $name() {
            check::<time::$kind>($text);
        })*
    };
}

travels! {
    whole_span: TimeSpan "1h 30m";
    span_of_microseconds: TimeSpan "5s 123456us";
    span_of_nanoseconds: TimeSpan "5s 123ms 456us 789ns";
    time_of_milliseconds: WallTime "2026-03-01T06:00:00.123Z";
}
