//! Writes the generated types in `src/generated` from the files in `proto`.
//!
//! Run it after each change of a `.proto` file: `cargo run -p almondsail-wire --example generate`.

use std::error::Error;
use std::path::Path;

/// Files that hold messages, each compiled into the module of its package.
const PROTO_FILES: [&str; 2] = ["config.proto", "peer.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let descriptors = protox::compile(PROTO_FILES, [root.join("proto")])?;
    prost_build::Config::new()
        .out_dir(root.join("src/generated"))
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .message_attribute(".", "#[serde(default, deny_unknown_fields)]")
        .compile_fds(descriptors)?;
    Ok(())
}
