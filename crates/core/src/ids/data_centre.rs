//! The name of a data centre.

name_type!(
    /// Names the data centre that houses a host.
    DataCentre,
    "data centre"
);
