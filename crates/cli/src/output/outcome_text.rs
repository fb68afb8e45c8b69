//! Formats the outcome of a command as a sentence.

use almondsail_wire::operator::outcome::Outcome;

/// Formats the outcome of a command as a sentence, followed by its changes or mistakes if it lists
/// any.
pub fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted(version) => format!("accepted at version {version}\n"),
        Outcome::WouldAccept(would) if would.changes.is_empty() => {
            "would be accepted, without a change\n".to_owned()
        }
        Outcome::WouldAccept(would) => {
            format!("would be accepted, with these changes:\n{}", indent_lines(&would.changes))
        }
        Outcome::Refused(refused) if refused.mistakes.len() > 1 => {
            format!("refused because of these mistakes:\n{}", indent_lines(&refused.mistakes))
        }
        Outcome::Refused(refused) => format!("refused because {}\n", refused.message),
        Outcome::StoppedUnrecorded(_) => {
            "stopped on every node that can be reached; the store can't be reached, \
             nodes record the stop when it answers again\n"
                .to_owned()
        }
        Outcome::Unknown(write_id) => {
            format!(
                "unknown whether it was accepted; find out with: almondsail outcome {write_id}\n"
            )
        }
        Outcome::NotFound(not_found) => format!(
            "not accepted so far: the history of version {} does not have the write id {}; \
             the change may still be on its way, or be older than the history\n",
            not_found.version, not_found.write_id
        ),
    }
}

fn indent_lines(lines: &[String]) -> String {
    lines.iter().map(|line| format!("  {line}\n")).collect()
}
