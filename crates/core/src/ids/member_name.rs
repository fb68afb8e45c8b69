//! The name of a member.

name_type!(
    /// A member, one of the customers who share an installation.
    MemberName,
    "member"
);
