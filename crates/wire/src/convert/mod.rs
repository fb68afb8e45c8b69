//! Conversions between the generated types and the types of `almondsail-core`.

mod codec;
mod config;
mod delta;
mod evidence;
mod fields;
mod fleet;
mod message;
mod operator_answer;
mod operator_command;
mod operator_query;
mod operator_report;
mod peer;
mod quota;
mod report;

pub use codec::{
    decode_config, decode_hour, decode_message, encode_config, encode_hour, encode_message,
};
pub use fleet::{
    decode_departure, decode_heartbeat, decode_node_entry, decode_progress, encode_departure,
    encode_heartbeat, encode_node_entry, encode_progress,
};
pub use quota::{decode_quota_message, encode_quota_message, is_quota_datagram};
