//! The name of a team.

name_type!(
    /// A team, one of the customers who share an installation.
    TeamName,
    "team"
);
