//! Generates the wire types of `almondsail-wire` from their proto files.
//!
//! After a change of a `.proto` file, run
//! `cargo run -p almondsail-codegen --example generate_wire`. The generator is a separate
//! crate because `almondsail-wire` and its dependents don't compile while the generated types
//! are out of date.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

use std::error::Error;
use std::path::Path;

/// Proto files with messages; each compiles to the module of its package.
const PROTO_FILES: [&str; 6] =
    ["config.proto", "fleet.proto", "local.proto", "operator.proto", "peer.proto", "report.proto"];

/// Compiles the proto files in the directory `proto` to Rust files in the directory `out`.
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
