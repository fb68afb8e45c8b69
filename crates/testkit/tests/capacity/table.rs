//! Parses the Markdown tables of the capacity page.

use std::collections::BTreeMap;

/// The cells of a table row, by the heading of their column.
pub type Row = BTreeMap<String, String>;

/// Returns the rows of all tables with exactly the columns `columns`, in page order.
pub fn rows(page: &str, columns: &[&str]) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut is_in_table = false;
    for line in page.lines() {
        let cells = cells(line);
        if cells.is_empty() {
            is_in_table = false;
        } else if cells == columns {
            is_in_table = true;
        } else if is_in_table && !cells[0].starts_with("---") {
            assert_eq!(cells.len(), columns.len(), "the row {line:?} has other columns");
            let named = columns.iter().zip(cells);
            rows.push(named.map(|(name, cell)| ((*name).to_owned(), cell.to_owned())).collect());
        }
    }
    rows
}

fn cells(line: &str) -> Vec<&str> {
    let inner = line.strip_prefix('|').and_then(|line| line.strip_suffix('|'));
    inner.map(|inner| inner.split('|').map(str::trim).collect()).unwrap_or_default()
}

/// Parses a cell such as `1,234.5` into its value and half a unit of its last digit.
pub fn number(cell: &str) -> Result<(f64, f64), String> {
    let digits = cell.replace(',', "");
    let decimals = digits.split_once('.').map_or(0, |(_, after)| after.len());
    let value = digits.parse().map_err(|e| format!("{cell:?}: {e}"))?;
    // Slightly more than half a unit, because decimal halves are not exact in binary.
    Ok((value, 0.5001 * 10_f64.powi(-(decimals as i32))))
}
