//! What the control thread takes from the other threads.

use almondsail_core::control::Event;

/// What the control thread takes from the other threads.
#[derive(Debug)]
pub enum ControlInput {
    /// An event without an answer.
    Event(Event),
}
