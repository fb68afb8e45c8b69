//! Checks the figures on the capacity page against the measured slopes.

#[path = "capacity/formula.rs"]
mod formula;
#[path = "capacity/linear_fits.rs"]
mod linear_fits;
#[path = "capacity/table.rs"]
mod table;

use std::collections::BTreeMap;

use formula::{Bindings, Figure, evaluate};
use table::{Row, number, rows};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");
const SLOPES: &str = include_str!("../../../docs/capacity-slopes.json");
const SLOPE_COLUMNS: [&str; 8] =
    ["slope", "unit", "by", "from", "to", "intercept", "per unit of size", "deviation %"];
const INPUT_COLUMNS: [&str; 4] = ["input", "value", "unit", "source"];
const FIGURE_COLUMNS: [&str; 6] = ["figure", "meaning", "formula", "value", "unit", "basis"];
const LIMIT_COLUMNS: [&str; 6] = ["limit", "formula", "value", "allowed", "unit", "holds"];

/// Returns a message for each cell of the page that disagrees with the slopes.
fn mistakes(page: &str) -> Vec<String> {
    let mut bindings = Bindings { fits: linear_fits::read(SLOPES), figures: BTreeMap::new() };
    let mut mistakes = check_slopes(page, &bindings);
    for row in rows(page, &INPUT_COLUMNS) {
        let value = number(&row["value"]).expect("an input is a number").0;
        bindings.figures.insert(row["input"].clone(), Figure { value, is_extrapolated: false });
    }
    for row in rows(page, &FIGURE_COLUMNS) {
        match check_figure(&row, &bindings) {
            Ok(figure) => {
                let before = bindings.figures.insert(row["figure"].clone(), figure);
                assert_eq!(before, None, "{} occurs twice", row["figure"]);
            }
            Err(mistake) => mistakes.push(format!("{}: {mistake}", row["figure"])),
        }
    }
    for row in rows(page, &LIMIT_COLUMNS) {
        if let Err(mistake) = check_limit(&row, &bindings) {
            mistakes.push(format!("{}: {mistake}", row["limit"]));
        }
    }
    mistakes
}

fn check_slopes(page: &str, bindings: &Bindings) -> Vec<String> {
    let mut mistakes = Vec::new();
    let rows = rows(page, &SLOPE_COLUMNS);
    let on_page: Vec<&String> = rows.iter().map(|row| &row["slope"]).collect();
    let measured: Vec<&String> = bindings.fits.keys().collect();
    if on_page != measured {
        mistakes.push(format!("slopes on the page: {on_page:?}, in the file: {measured:?}"));
    }
    for row in &rows {
        let Some(fit) = bindings.fits.get(&row["slope"]) else { continue };
        let cells = [
            ("from", fit.smallest()),
            ("to", fit.largest()),
            ("intercept", fit.intercept),
            ("per unit of size", fit.slope),
            ("deviation %", fit.largest_relative_deviation * 100.0),
        ];
        for (column, value) in cells {
            if let Err(mistake) = check_cell(&row[column], value) {
                mistakes.push(format!("{}, {column}: {mistake}", row["slope"]));
            }
        }
        if (&row["unit"], &row["by"]) != (&fit.unit, &fit.size) {
            mistakes.push(format!("{}: {} by {}", row["slope"], fit.unit, fit.size));
        }
    }
    mistakes
}

fn check_cell(cell: &str, value: f64) -> Result<(), String> {
    let (shown, rounding) = number(cell)?;
    let is_right = (shown - value).abs() <= rounding;
    is_right.then_some(()).ok_or_else(|| format!("the page says {cell}, the slopes give {value}"))
}

fn check_formula(row: &Row, bindings: &Bindings) -> Result<Figure, String> {
    let figure = evaluate(row["formula"].trim_matches('`'), bindings)?;
    check_cell(&row["value"], figure.value)?;
    Ok(figure)
}

fn check_figure(row: &Row, bindings: &Bindings) -> Result<Figure, String> {
    let figure = check_formula(row, bindings)?;
    let basis = if figure.is_extrapolated { "extrapolated" } else { "measured range" };
    let is_right = row["basis"] == basis;
    is_right.then_some(figure).ok_or_else(|| format!("the basis is {basis}"))
}

fn check_limit(row: &Row, bindings: &Bindings) -> Result<(), String> {
    let figure = check_formula(row, bindings)?;
    let allowed = number(&row["allowed"])?.0;
    let excess = (figure.value / allowed - 1.0) * 100.0;
    let holds = if excess <= 0.0 { "yes".to_owned() } else { format!("no, by {excess:.0}%") };
    let is_right = row["holds"] == holds;
    is_right.then_some(()).ok_or_else(|| format!("it holds: {holds}"))
}

/// Guards against figures on the page that don't follow from the measured slopes.
#[test]
fn page_arithmetic() {
    let mistakes = mistakes(PAGE);
    assert!(mistakes.is_empty(), "{}", mistakes.join("\n"));
    assert!(rows(PAGE, &FIGURE_COLUMNS).len() > 20);
    assert!(!rows(PAGE, &LIMIT_COLUMNS).is_empty());
}

/// Guards against a check that passes for any page: prefixes each computed value in
/// turn with the digit 9 and expects a mistake.
#[test]
fn page_wrong_figure() {
    for columns in [&FIGURE_COLUMNS, &LIMIT_COLUMNS] {
        for row in rows(PAGE, columns) {
            let formula = &row["formula"];
            let right = format!("| {formula} | {} |", row["value"]);
            let wrong = format!("| {formula} | 9{} |", row["value"]);
            assert!(PAGE.contains(&right), "{right} is not on the page as one space apart");
            assert!(!mistakes(&PAGE.replace(&right, &wrong)).is_empty(), "{wrong} passes");
        }
    }
}

/// Guards against slopes that are not the least-squares fit of their values.
#[test]
fn slopes_least_squares() {
    for (name, fit) in linear_fits::read(SLOPES) {
        let residual = |(size, value): (&f64, &f64)| value - fit.at(*size);
        let residuals: Vec<f64> = fit.sizes.iter().zip(&fit.values).map(residual).collect();
        let scale: f64 = fit.values.iter().sum();
        assert!(residuals.iter().sum::<f64>().abs() < 1e-3 * scale, "{name}: {residuals:?}");
        let moment: f64 = residuals.iter().zip(&fit.sizes).map(|(r, x)| r * x).sum();
        assert!(moment.abs() < 1e-3 * scale * fit.largest(), "{name}: {residuals:?}");
        assert!(!fit.bench.is_empty(), "{name} names no benchmark");
    }
}

/// Guards against wrong operator precedence in formulas, and malformed formulas that
/// are accepted.
#[test]
fn formula_precedence() {
    let bindings = Bindings { fits: BTreeMap::new(), figures: BTreeMap::new() };
    let value = |text| evaluate(text, &bindings).map(|figure| figure.value);
    assert_eq!(value("1 + 2 * (3 - 1) / 4"), Ok(2.0));
    assert_eq!(value("8 / 2 / 2 - 1 - 1"), Ok(0.0));
    assert!(value("1 +").is_err() && value("(1").is_err() && value("1 2").is_err());
    assert!(value("unknown").is_err());
}
