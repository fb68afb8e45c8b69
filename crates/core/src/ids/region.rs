//! The name of a region.

name_type!(
    /// A region, a group of data centres that can lose contact with other groups.
    Region,
    "region"
);
