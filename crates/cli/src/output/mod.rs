//! Formats results as text or JSON and writes them.

mod answer_text;
mod console;
mod format;
mod outcome_text;
mod report_text;
mod table;
mod time_text;

pub use answer_text::answer_text;
pub use console::Console;
pub use format::Format;
pub use outcome_text::outcome_text;
pub use report_text::report_text;
pub use table::Table;
