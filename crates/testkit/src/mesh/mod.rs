//! A whole mesh of processes: store, nodes and backend servers.

mod mesh_builder;
mod mesh_node;
mod mesh_type;
mod metrics;
mod node_settings;
mod operator;
mod resident_memory;

pub use mesh_builder::MeshBuilder;
pub use mesh_node::MeshNode;
pub use mesh_type::Mesh;
pub use metrics::Metrics;
pub use node_settings::{Listen, NodeSettings};
pub use operator::Operator;
pub use resident_memory::resident_memory;
