//! The record of all executions in one process.

use super::{Execution, ExecutionEnd};

/// The record of all executions in one process, in the order in which they began.
#[derive(Debug, Default)]
pub struct ExecutionLog(Vec<Execution>);

impl ExecutionLog {
    /// Records the start of an execution and returns its number.
    pub fn begin(&mut self, method: &str, path: &str, key: Option<&str>) -> u64 {
        let number = self.0.len() as u64 + 1;
        self.0.push(Execution {
            number,
            key: key.map(str::to_owned),
            method: method.to_owned(),
            path: path.to_owned(),
            end: ExecutionEnd::Running,
        });
        number
    }

    /// Records how the execution `number` ended; ignores an unknown number.
    pub fn end(&mut self, number: u64, end: ExecutionEnd) {
        let index = usize::try_from(number).ok().and_then(|n| n.checked_sub(1));
        if let Some(execution) = index.and_then(|index| self.0.get_mut(index)) {
            execution.end = end;
        }
    }

    /// Returns every execution, the oldest first.
    pub fn all(&self) -> &[Execution] {
        &self.0
    }

    /// Returns the execution `number`, or `None` if there was none.
    pub fn get(&self, number: u64) -> Option<&Execution> {
        self.0.get(usize::try_from(number).ok()?.checked_sub(1)?)
    }
}
