//! Broken promises.

/// A promise that was broken, with what was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An answer is not whole, or belongs to another call.
    WrongAnswer,
    /// A call ran more often than it may.
    RanTooOften,
    /// A call ran although its caller was told that it had not.
    RefusedButRan,
    /// A call was answered by a server that did not run it.
    AnsweredUnrun,
    /// A server was told another team than that of the credential, or the credential.
    WrongTeam,
    /// A withdrawn or unknown credential was accepted too late.
    WithdrawnAccepted,
    /// A valid credential was refused too late after it was added, or after its withdrawal was
    /// revoked.
    ValidRefused,
    /// A call arrived at a server that had left.
    DepartedServer,
    /// A connection ended without an answer, and neither a crash nor the end of a stop explains it.
    Cut,
    /// A call may have run, or has no answer in time, and no fault explains it.
    UnexplainedFailure,
    /// A configuration is not in force in time.
    ConfigLate,
    /// A node went back to an older configuration.
    ConfigOlder,
    /// An answer has a status that no node sends for such a call.
    UnexpectedStatus,
}
