//! Tests of the command language.

use almondsail_cli::language::{GRAMMAR, Statement};
use almondsail_core::config::{Priority, Reason, Route, ServerVersion, StopMark};
use almondsail_core::ids::{ConfigVersion, ServiceName};
use almondsail_core::operators::{Command, CommandTime, Query};
use almondsail_core::units::{Millis, UnixMillis};
use almondsail_seeded::properties;
use quickcheck::{Arbitrary, Gen};

/// A random statement of any variant, with names that may also be keywords of the language.
#[derive(Debug, Clone)]
struct AnyStatement(Statement);

impl Arbitrary for AnyStatement {
    fn arbitrary(g: &mut Gen) -> Self {
        if bool::arbitrary(g) {
            return Self(Statement::Query(query(g)));
        }
        let base_version = Option::<u64>::arbitrary(g).map(ConfigVersion::new);
        Self(Statement::Command { command: command(g), dry_run: bool::arbitrary(g), base_version })
    }
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(g: &mut Gen) -> T {
    let names =
        ["bays", "v2", "in", "at", "by", "to", "on", "because", "lagging", "version", "a.b-c"];
    g.choose(&names).unwrap().parse().unwrap()
}

fn maybe<T>(g: &mut Gen, make: impl FnOnce(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(g).then(|| make(g))
}

fn query(g: &mut Gen) -> Query {
    match u8::arbitrary(g) % 8 {
        0 => Query::Config,
        1 => Query::Services,
        2 => Query::Routes,
        3 => Query::Versions(maybe(g, name)),
        4 => Query::Rollouts(maybe(g, name)),
        5 => Query::History(maybe(g, name)),
        6 => Query::Nodes { data_centre: maybe(g, name), lagging: bool::arbitrary(g) },
        _ => {
            Query::Where { service: name(g), version: maybe(g, name), data_centre: maybe(g, name) }
        }
    }
}

fn version(g: &mut Gen) -> ServerVersion {
    ServerVersion { service: name(g), version: name(g) }
}

fn route(g: &mut Gen) -> Route {
    Route {
        name: name(g),
        service: name(g),
        prefix: g.choose(&["/", "/bays", "/bays/at"]).unwrap().parse().unwrap(),
        priority: *g.choose(&Priority::ALL).unwrap(),
        idempotent: bool::arbitrary(g),
        deadline: Millis::new(u64::arbitrary(g)),
    }
}

fn reason(g: &mut Gen) -> Reason {
    String::arbitrary(g).parse().unwrap_or_else(|_| r#"a "quoted" \ reason"#.parse().unwrap())
}

fn command(g: &mut Gen) -> Command {
    match u8::arbitrary(g) % 14 {
        0 => Command::CreateService { name: name(g), team: name(g) },
        1 => Command::RemoveService(name(g)),
        2 => Command::CreateRoute(route(g)),
        3 => Command::ChangeRoute(route(g)),
        4 => Command::RemoveRoute(name(g)),
        5 => Command::CreateVersion(version(g)),
        6 => Command::RemoveVersion(version(g)),
        7 => Command::Move {
            service: name(g),
            to: name(g),
            by: match bool::arbitrary(g) {
                true => CommandTime::Absolute(UnixMillis::new(u64::arbitrary(g))),
                false => CommandTime::Relative(Millis::new(u64::arbitrary(g))),
            },
        },
        8 => Command::Hold(name(g)),
        9 => Command::Resume(name(g)),
        10 => Command::RollBack { service: name(g), reason: maybe(g, reason) },
        11 => Command::Stop {
            mark: StopMark { service: name(g), version: name(g), route: maybe(g, name) },
            reason: maybe(g, reason),
        },
        12 => Command::ClearStop(version(g)),
        _ => Command::Restore(ConfigVersion::new(u64::arbitrary(g))),
    }
}

/// Whether parsing `text` gives a statement, or an error that points into the text.
fn is_handled(text: &str) -> bool {
    match text.parse::<Statement>() {
        Ok(_) => true,
        Err(e) => text.is_char_boundary(e.offset()) && !e.expected().is_empty(),
    }
}

properties! {
    /// Guards against a printed statement that parses to another statement.
    fn statement_round_trip(statement: AnyStatement) -> bool {
        statement.0.to_string().parse().as_ref() == Ok(&statement.0)
    }

    /// Guards against a panic on arbitrary text, and against an error that points outside the text.
    fn statement_any_text(text: String) -> bool {
        is_handled(&text)
    }

    /// Guards against a panic on a valid statement that is cut off or has text inserted.
    fn statement_damaged(statement: AnyStatement, at: usize, insert: String) -> bool {
        let text = statement.0.to_string();
        let at = at % (text.chars().count() + 1);
        let head: String = text.chars().take(at).collect();
        let tail: String = text.chars().skip(at).collect();
        is_handled(&format!("{head}{insert}{tail}")) && is_handled(&head)
    }
}

/// Guards against a syntax error with the caret in the wrong column or an alternative missing.
#[test]
fn syntax_error_places() {
    let cases = [
        (
            "",
            "\n^\nexpected `show`, `where`, `dry-run`, `create`, `change`, `remove`, `restore`, \
             `move`, `hold`, `resume`, `rollback`, `stop` or `clear`; the command ends here",
        ),
        (
            "show routs",
            "show routs\n     ^\nexpected `config`, `services`, `routes`, `versions`, `rollouts`, \
             `history` or `nodes`; found \"routs\"",
        ),
        (
            "show nodes in dc-a lagging now",
            "show nodes in dc-a lagging now\n                           ^\n\
             expected the end of the command; found \"now\"",
        ),
        (
            "create service Bays team depots",
            "create service Bays team depots\n               ^\n\
             expected a service name; found \"Bays\"",
        ),
        (
            "move bays to v2 by soon",
            "move bays to v2 by soon\n                   ^\nexpected `in` or a time such as \
             2027-01-31T06:00:00Z or unix:1500ms; found \"soon\"",
        ),
        (
            "hold bays at version x",
            "hold bays at version x\n                     ^\n\
             expected a configuration version such as 17; found \"x\"",
        ),
        (
            "stop bays/v2 because broken",
            "stop bays/v2 because broken\n                     ^\nexpected a reason in quotes, \
             1 to 512 bytes without control characters; found \"broken\"",
        ),
        ("hold  ", "hold\n      ^\nexpected a service name; the command ends here"),
        ("hold ñandú x", "hold ñandú x\n     ^\nexpected a service name; found \"ñandú\""),
    ];
    for (text, expected) in cases {
        assert_eq!(text.parse::<Statement>().unwrap_err().to_string(), expected, "for {text:?}");
    }
}

/// Guards against a time that is parsed in the wrong unit or time zone.
#[test]
fn statement_times() {
    let by = |text: &str| match format!("move bays to v2 {text}").parse() {
        Ok(Statement::Command { command: Command::Move { by, .. }, .. }) => Some(by),
        _ => None,
    };
    let at = |ms| Some(CommandTime::Absolute(UnixMillis::new(ms)));
    let from_now = |ms| Some(CommandTime::Relative(Millis::new(ms)));
    assert_eq!(by("by 2026-12-04T11:15:00Z"), at(1_796_382_900_000));
    assert_eq!(by("by unix:1500ms"), at(1_500));
    assert_eq!(by("by in 90s"), from_now(90_000));
    assert_eq!(by("in 10m"), from_now(600_000));
    assert_eq!(by("in 2h"), from_now(7_200_000));
    for bad in
        ["by 2026-12-04T11:15:00+03:00", "by 10m", "in 10", "in -1s", "in 99999999999999999h"]
    {
        assert_eq!(by(bad), None, "accepted {bad:?}");
    }
}

/// Guards against a name that is parsed as a keyword because it is spelled like one.
#[test]
fn statement_names_like_words() {
    let service: ServiceName = "because".parse().unwrap();
    let text = "rollback because because \"slow\"";
    let read = text.parse();
    let Ok(Statement::Command { command: Command::RollBack { service: read, .. }, .. }) = read
    else {
        panic!("not read as a rollback: {read:?}");
    };
    assert_eq!(read, service);
}

/// Guards against a manual whose grammar or examples no longer match the language.
#[test]
fn manual_examples() {
    let manual = include_str!("../../../docs/operators.md");
    let mut count = 0;
    for block in manual.split("```").filter(|block| block.contains(" run '")) {
        let text = block.split(" run '").nth(1).unwrap().split('\'').next().unwrap();
        let is_mistake = block.ends_with("$ echo $?\n2\n");
        assert_eq!(text.parse::<Statement>().is_err(), is_mistake, "for {text:?}");
        count += 1;
    }
    assert!(count > 40, "only {count} examples");
    assert!(manual.contains(GRAMMAR), "the manual has another grammar");
}
