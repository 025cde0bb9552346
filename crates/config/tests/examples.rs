//! The example documents are valid and have the sizes that they claim.

use almondpass_config::document;

fn check(file: &str, text: &str) {
    let document = document::check(file, text).unwrap_or_else(|faults| panic!("{faults}"));
    let racks = document.halls.iter().flat_map(|it| &it.racks);
    assert_eq!(racks.map(|it| it.workers).sum::<u32>(), 48);
    assert_eq!(document.halls.len(), 3);
    assert_eq!(document.accounts.len(), 4);
}

macro_rules! examples {
    ($($name:ident: $file:literal,)*) => {
        $(#[test]
        fn $name() {
            check($file, include_str!(concat!("../../../examples/", $file)));
        })*
    };
}

examples! {
    laboratories: "laboratories.config.yaml",
    association: "association.config.yaml",
}
