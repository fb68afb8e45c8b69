//! Wire messages of almondsail and their conversions to the types of `almondsail-core`.
//!
//! The types in [`config`], [`fleet`], [`local`], [`operator`], [`peer`] and [`report`] are
//! generated from the files in `proto` and committed; `cargo run -p almondsail-codegen
//! --example generate_wire` regenerates them. Conversions to the core's types
//! validate every value and return the path of an invalid field.

#![deny(missing_docs, unsafe_code, rust_2018_idioms, unreachable_pub)]
#![deny(clippy::all)]

mod compression;
mod convert;
mod decode_error;
mod field_error;
mod generated;
mod limits;

pub use compression::{compress, decompress};
pub use convert::{
    decode_config, decode_departure, decode_heartbeat, decode_hour, decode_message,
    decode_node_entry, decode_progress, decode_quota_message, encode_config, encode_departure,
    encode_heartbeat, encode_hour, encode_message, encode_node_entry, encode_progress,
    encode_quota_message, is_quota_datagram,
};
pub use decode_error::DecodeError;
pub use field_error::FieldError;
pub use generated::config::v1 as config;
pub use generated::fleet::v1 as fleet;
pub use generated::local::v1 as local;
pub use generated::operator::v1 as operator;
pub use generated::peer::v1 as peer;
pub use generated::report::v1 as report;
pub use limits::{MAX_CONFIG_BYTES, MAX_FRAME_BYTES};
