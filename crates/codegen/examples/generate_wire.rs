//! Writes the generated types of `almondsail-wire` from its `.proto` files.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let wire = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    almondsail_codegen::generate(&wire.join("proto"), &wire.join("src/generated"))
}
