//! The name of a operator.

name_type!(
    /// A person or program that sends commands.
    OperatorName,
    "operator"
);
