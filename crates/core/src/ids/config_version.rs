//! The version of the configuration.

number_type!(
    /// The version of the configuration. Zero means no configuration; the first accepted one is 1.
    ConfigVersion,
    "configuration version"
);
