//! Identifiers: names given by people, and numbers and digests made by the system.

#[macro_use]
mod name;

mod backend_id;
mod call_key;
mod config_version;
mod data_centre;
mod digest;
mod hex;
mod host_name;
mod incarnation;
mod node_id;
mod operator_name;
mod parse_id_error;
mod region;
mod route_name;
mod service_name;
mod team_name;
mod version_name;
mod write_id;

pub use backend_id::BackendId;
pub use call_key::CallKey;
pub use config_version::ConfigVersion;
pub use data_centre::DataCentre;
pub use digest::Digest;
pub use host_name::HostName;
pub use incarnation::Incarnation;
pub use node_id::NodeId;
pub use operator_name::OperatorName;
pub use parse_id_error::ParseIdError;
pub use region::Region;
pub use route_name::RouteName;
pub use service_name::ServiceName;
pub use team_name::TeamName;
pub use version_name::VersionName;
pub use write_id::WriteId;
