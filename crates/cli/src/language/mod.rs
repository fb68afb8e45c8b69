//! The operators' command language: its grammar, parser and syntax errors.

mod expected;
mod furthest_failure;
mod grammar;
mod parser;
mod statement;
mod syntax_error;
mod time;
mod words;

pub use expected::Expected;
pub use grammar::GRAMMAR;
pub use statement::Statement;
pub use syntax_error::SyntaxError;
pub use time::parse_time;
