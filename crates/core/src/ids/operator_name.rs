//! The name of an operator.

name_type!(
    /// Names an operator, a person or program that sends commands.
    OperatorName,
    "operator"
);
