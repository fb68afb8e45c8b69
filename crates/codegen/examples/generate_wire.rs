//! Regenerates the types in `crates/wire/src/generated` from the `.proto` files.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    almondsail_codegen::generate(&wire.join("proto"), &wire.join("src/generated"))
}
