//! Entry point; everything lives in the library.

fn main() {}
