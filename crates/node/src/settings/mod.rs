//! Reads and validates the settings file, which is JSON with comments.

mod fields;
mod identity;
mod installation_key;
mod invalid_field;
mod listen;
mod node_settings;
mod operator_token;
mod settings_error;
mod settings_file;

pub use identity::Identity;
pub use installation_key::InstallationKey;
pub use invalid_field::InvalidField;
pub use listen::Listen;
pub use node_settings::NodeSettings;
pub use operator_token::OperatorToken;
pub use settings_error::SettingsError;
pub use settings_file::SettingsFile;

pub(crate) use fields::Fields;
pub(crate) use node_settings::read_section;
