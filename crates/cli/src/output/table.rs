//! A text table with aligned columns.

use std::fmt;

/// A table that prints its columns aligned and two spaces apart, or `none` if it has no rows.
///
/// ```
/// use almondsail_cli::output::Table;
///
/// let mut table = Table::new(&["SERVICE", "TEAM"]);
/// table.push_row(["bays", "depots"]);
/// assert_eq!(table.to_string(), "SERVICE  TEAM\nbays     depots\n");
/// ```
#[derive(Debug, Clone)]
pub struct Table {
    /// Header followed by the rows, each with as many cells as the header.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows; `header` sets the number of columns.
    pub fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(ToString::to_string).collect()] }
    }

    /// Appends a row. Missing cells are empty, and cells beyond the header are dropped.
    pub fn push_row<T: Into<String>>(&mut self, cells: impl IntoIterator<Item = T>) {
        let mut row: Vec<String> =
            cells.into_iter().map(|cell| mask_control_chars(cell.into())).collect();
        row.resize(self.rows[0].len(), String::new());
        self.rows.push(row);
    }

    /// Whether the table has no rows besides the header.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn widths(&self) -> Vec<usize> {
        let columns = 0..self.rows[0].len();
        let width =
            |i: usize| self.rows.iter().map(|row| row[i].chars().count()).max().unwrap_or(0);
        columns.map(width).collect()
    }
}

/// Replaces control characters, which could change the state of a terminal.
fn mask_control_chars(cell: String) -> String {
    cell.replace(char::is_control, "?")
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(f, "none");
        }
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let line: Vec<String> = cells.map(|(cell, &width)| format!("{cell:width$}")).collect();
            writeln!(f, "{}", line.join("  ").trim_end())?;
        }
        Ok(())
    }
}
