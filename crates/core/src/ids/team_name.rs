//! The name of a team.

name_type!(
    /// Names a team, one of the customers who share an installation.
    TeamName,
    "team"
);
