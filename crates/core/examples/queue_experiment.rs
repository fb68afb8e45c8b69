//! Replays load patterns at one server for several queueing policies.
//!
//! `cargo run --release --example queue_experiment -p almondsail-core [SITE] [PATTERN] [POLICY]`
//! prints for each kind of call the parts that are served in time, late and refused, as a Markdown
//! table. `all` stands for every site, pattern or policy, as does a missing argument.

#[path = "../tests/queue_replay/mod.rs"]
mod queue_replay;

use std::process::ExitCode;

use queue_replay::outcomes::Outcomes;
use queue_replay::{Pattern, Policy, Replay, Report, Site};

/// The seeds of the replays whose mean is shown.
const SEEDS: std::ops::Range<u64> = 0..3;
/// Teams with fewer calls are left out of the lowest ratio, which chance alone would make low.
const MIN_TEAM_CALLS: u32 = 60;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let is_wanted = |index: usize, name: &str| {
        args.get(index).is_none_or(|wanted| wanted == "all" || wanted == name)
    };
    let mut printed = 0;
    for site in Site::ALL.into_iter().filter(|site| is_wanted(0, site.name())) {
        for pattern in Pattern::ALL.into_iter().filter(|pattern| is_wanted(1, pattern.name())) {
            print_header(site, pattern);
            for policy in Policy::ALL.into_iter().filter(|policy| is_wanted(2, policy.name())) {
                print_row(site, pattern, policy);
                printed += 1;
            }
        }
    }
    if printed == 0 {
        eprintln!("sites: {}", Site::ALL.map(Site::name).join(", "));
        eprintln!("patterns: {}", Pattern::ALL.map(Pattern::name).join(", "));
        eprintln!("policies: {}", Policy::ALL.map(Policy::name).join(", "));
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_header(site: Site, pattern: Pattern) {
    let kinds = site.kinds();
    println!("\n{}, {}:\n", site.name(), pattern.name());
    let names: Vec<_> = kinds.iter().map(|kind| kind.name).collect();
    println!("| policy | {} | value | surging team | other teams | lowest |", names.join(" | "));
    println!("|---{}|---|---|---|---|", "|---".repeat(names.len()));
}

fn print_row(site: Site, pattern: Pattern, policy: Policy) {
    let reports = SEEDS.map(|seed| Replay { site, pattern, policy, seed }.run());
    let report = reports.reduce(add).expect("a seed");
    let kinds: Vec<_> = report.kinds.iter().map(|kind| cell(*kind)).collect();
    let surging = pattern.surging_team().and_then(|team| report.teams.get(team));
    println!(
        "| {} | {} | {:.3} | {} | {} | {:.2} |",
        policy.name(),
        kinds.join(" | "),
        report.all().value(),
        surging.map_or_else(|| "-".to_owned(), |team| cell(*team)),
        cell(report.other_teams(pattern.surging_team())),
        report.lowest_relative(MIN_TEAM_CALLS),
    );
}

fn add(a: Report, b: Report) -> Report {
    let add = |a: &[Outcomes], b: &[Outcomes]| a.iter().zip(b).map(|(a, b)| a.with(*b)).collect();
    Report { kinds: add(&a.kinds, &b.kinds), teams: add(&a.teams, &b.teams) }
}

/// Returns the parts in per cent that were in time, late and not served.
fn cell(outcomes: Outcomes) -> String {
    let part = |n: u32| 100.0 * f64::from(n) / f64::from(outcomes.calls().max(1));
    let failed = outcomes.refused + outcomes.lost;
    format!("{:.0}+{:.0}-{:.0}", part(outcomes.in_time), part(outcomes.late), part(failed))
}
