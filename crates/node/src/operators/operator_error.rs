//! The errors of the operators' interface.

use std::fmt;

use almondsail_wire::{FieldError, operator as wire};
use http::StatusCode;

/// Why a request of an operator was not carried out.
///
/// None of them had an effect: a change whose end is not known is an outcome, not an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// The request has no bearer token.
    TokenMissing,
    /// No operator has the token.
    TokenUnknown,
    /// There is no such path.
    NoSuchPath,
    /// The parameters in the path can't be read.
    BadParameters,
    /// The path takes other methods.
    WrongMethod,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read in time or in whole.
    BodyIncomplete,
    /// The body is not JSON of the wanted form.
    BadJson(String),
    /// A field has a bad value.
    BadField(FieldError),
    /// The node has as many requests in hand as it may.
    Busy,
    /// The node stops.
    Stopping,
    /// The control thread did not answer in time.
    NoAnswer,
    /// The node has no counts to make a report from.
    NoReport,
    /// An operator of one team asked for the report of another.
    OtherTeam,
}

impl OperatorError {
    /// The status of the HTTP answer.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TokenMissing | Self::TokenUnknown => StatusCode::UNAUTHORIZED,
            Self::NoSuchPath => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadParameters | Self::BodyIncomplete | Self::BadJson(_) | Self::BadField(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::Busy | Self::Stopping | Self::NoReport => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoAnswer => StatusCode::GATEWAY_TIMEOUT,
            Self::OtherTeam => StatusCode::FORBIDDEN,
        }
    }

    /// The word by which programs tell the error, and by which it is counted.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::TokenMissing => "token_missing",
            Self::TokenUnknown => "token_unknown",
            Self::NoSuchPath => "no_such_path",
            Self::BadParameters => "bad_parameters",
            Self::WrongMethod => "wrong_method",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::BadJson(_) => "bad_json",
            Self::BadField(_) => "bad_field",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::NoAnswer => "no_answer",
            Self::NoReport => "no_report",
            Self::OtherTeam => "other_team",
        }
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TokenMissing => {
                f.write_str("the header `Authorization: Bearer TOKEN` is missing")
            }
            Self::TokenUnknown => f.write_str("no operator has this token"),
            Self::NoSuchPath => f.write_str("there is no such path"),
            Self::BadParameters => f.write_str("the parameters in the path can't be read"),
            Self::WrongMethod => f.write_str("this path takes another method"),
            Self::BodyTooLarge => f.write_str("the body is larger than 1 MB"),
            Self::BodyIncomplete => f.write_str("the body did not arrive in whole in time"),
            Self::BadJson(problem) => write!(f, "the body is not a request: {problem}"),
            Self::BadField(e) => e.fmt(f),
            Self::Busy => f.write_str("this node has too many requests in hand; try again"),
            Self::Stopping => f.write_str("this node stops; ask another one"),
            Self::NoAnswer => f.write_str("this node did not answer in time; ask another one"),
            Self::NoReport => {
                f.write_str("this node has no counts of this team to make a report from")
            }
            Self::OtherTeam => f.write_str("this report is of another team than the token's"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<FieldError> for OperatorError {
    fn from(e: FieldError) -> Self {
        Self::BadField(e)
    }
}

impl From<&OperatorError> for wire::Error {
    fn from(e: &OperatorError) -> Self {
        let field = match e {
            OperatorError::BadField(e) => e.path().to_owned(),
            _ => String::new(),
        };
        Self { code: e.code().to_owned(), message: e.to_string(), field }
    }
}
