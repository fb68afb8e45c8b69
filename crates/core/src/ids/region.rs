//! The name of a region.

name_type!(
    /// Names a region, a group of data centres that can lose contact with other regions.
    Region,
    "region"
);
