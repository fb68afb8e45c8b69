//! Generates the wire types of almondsail from their proto files.
//!
//! Run it after each change of a `.proto` file: `cargo run -p almondsail-codegen --example generate_wire`.
//! It is a crate of its own, because `almondsail-wire` and all that uses it do
//! not compile while the generated types are out of date.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

use std::error::Error;
use std::path::Path;

/// Files that hold messages, each compiled into the module of its package.
const PROTO_FILES: [&str; 6] =
    ["config.proto", "fleet.proto", "local.proto", "operator.proto", "peer.proto", "report.proto"];

/// Compiles the files in the folder `proto` to Rust files in the folder `out`.
pub fn generate(proto: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(PROTO_FILES, [proto])?;
    prost_build::Config::new()
        .out_dir(out)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .message_attribute(".", "#[serde(default, deny_unknown_fields)]")
        .enum_attribute(".almondsail.operator", "#[serde(rename_all = \"snake_case\")]")
        .compile_fds(descriptors)?;
    Ok(())
}
