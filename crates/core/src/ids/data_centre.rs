//! The name of a data centre.

name_type!(
    /// The data centre in which a host stands.
    DataCentre,
    "data centre"
);
