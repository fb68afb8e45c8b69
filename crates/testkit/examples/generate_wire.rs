//! Writes the generated types of `almondsail-wire` from its `.proto` files.
//!
//! Run it after each change of a `.proto` file: `cargo run -p almondsail-testkit --example generate_wire`.
//! It is not part of `almondsail-wire`, because that crate does not compile while
//! its generated types are out of date.

use std::error::Error;
use std::path::Path;

/// Files that hold messages, each compiled into the module of its package.
const PROTO_FILES: [&str; 5] =
    ["config.proto", "local.proto", "operator.proto", "peer.proto", "report.proto"];

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wire");
    let descriptors = protox::compile(PROTO_FILES, [root.join("proto")])?;
    prost_build::Config::new()
        .out_dir(root.join("src/generated"))
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .message_attribute(".", "#[serde(default, deny_unknown_fields)]")
        .enum_attribute(".almondsail.operator", "#[serde(rename_all = \"snake_case\")]")
        .compile_fds(descriptors)?;
    Ok(())
}
