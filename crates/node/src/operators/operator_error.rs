//! Errors of the operators' HTTP API.

use std::fmt;

use almondsail_wire::{FieldError, operator as wire};
use http::StatusCode;

/// Why an operator's request was rejected or not answered.
///
/// A request that ends with an error has changed nothing; a change that may still take effect
/// is reported as [`Outcome::Unknown`](almondsail_core::store::Outcome::Unknown) instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// The request has no `Authorization: Bearer` header.
    TokenMissing,
    /// No operator in the settings has this token.
    TokenUnknown,
    /// The path is not one of the API's routes.
    NoSuchPath,
    /// The path or query parameters can't be decoded, for example for bad UTF-8.
    BadParameters,
    /// The path exists but does not accept the request's method.
    WrongMethod,
    /// The request body is larger than 1 MB.
    BodyTooLarge,
    /// The request body did not arrive completely within 10 s.
    BodyIncomplete,
    /// The body is not JSON or does not match the schema; holds the parser's message.
    BadJson(String),
    /// A field of the body or a parameter has an invalid value.
    BadField(FieldError),
    /// The node has too many pending requests, or is already building a report.
    Busy,
    /// The node is shutting down.
    Stopping,
    /// The control thread received the request but did not answer in time.
    NoAnswer,
    /// The node has no configuration, or its configuration and stored sums lack the team.
    NoReport,
    /// The operator's token is for another team than the requested report.
    OtherTeam,
}

impl OperatorError {
    /// Returns the status code of the HTTP response.
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

    /// Returns the machine-readable code in the response, also used as label of the error counter.
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
            Self::NoSuchPath => f.write_str("no such path"),
            Self::BadParameters => f.write_str("the path or query parameters can't be decoded"),
            Self::WrongMethod => f.write_str("this path does not accept this method"),
            Self::BodyTooLarge => f.write_str("the body is larger than 1 MB"),
            Self::BodyIncomplete => f.write_str("the body did not arrive completely in time"),
            Self::BadJson(problem) => write!(f, "invalid request body: {problem}"),
            Self::BadField(e) => e.fmt(f),
            Self::Busy => f.write_str("this node has too many pending requests; try again"),
            Self::Stopping => f.write_str("this node is stopping; try another one"),
            Self::NoAnswer => f.write_str("this node did not answer in time; try another one"),
            Self::NoReport => f.write_str("this node has no counts for a report of this team"),
            Self::OtherTeam => f.write_str("the token is for another team than this report"),
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
