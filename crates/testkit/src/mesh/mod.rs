//! Runs a mesh of processes: a store, nodes and backend servers.

pub mod changes;

mod mesh_builder;
mod mesh_node;
mod mesh_type;
mod metrics;
mod node_settings;
mod operator;
mod process_usage;
mod store_editor;

pub use mesh_builder::MeshBuilder;
pub use mesh_node::MeshNode;
pub use mesh_type::Mesh;
pub use metrics::Metrics;
pub use node_settings::{ListenAddresses, NodeSettings};
pub use operator::Operator;
pub use process_usage::ProcessUsage;
pub use store_editor::StoreEditor;
