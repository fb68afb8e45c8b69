//! Tests of submissions to the store.

mod common;

use almondsail_core::config::{Change, ConfigError};
use almondsail_core::control::{Event, RequestId};
use almondsail_core::ids::ConfigVersion;
use almondsail_core::store::{
    JobId, MAX_JOBS, Outcome, RefusedChange, Revision, StoreError, StoreReply, StoreWriter,
    StoredConfig, Submission, WriterStep,
};
use almondsail_core::units::{Instant, UnixMillis};
use common::{Sim, create_service, create_version, name, submission};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn version(n: u64) -> ConfigVersion {
    ConfigVersion::new(n)
}

/// Simulates one node and a store with the services `bays` and `taller`.
fn sim_with_services() -> Sim {
    let mut sim = Sim::new(1, 9);
    sim.run(6_500);
    assert_eq!(
        submit_and_wait(&mut sim, submission(1, create_service("bays"))),
        Outcome::Accepted(version(1))
    );
    submit_and_wait(&mut sim, submission(2, create_service("taller")));
    sim
}

fn submit_and_wait(sim: &mut Sim, submission: Submission) -> Outcome {
    let id = sim.submit(0, submission);
    sim.run(6_000);
    sim.nodes[0].outcomes.remove(&id).expect("an outcome within 6 s")
}

/// Guards against accepting a change whose service changed after its base version, and against
/// refusing one when only other services changed.
#[test]
fn submit_base_overtaken() {
    let mut sim = sim_with_services();
    submit_and_wait(&mut sim, submission(3, create_version("bays", "v1")));
    let based = |id, service: &str| {
        let change = create_version(service, "v2");
        Submission { base_version: Some(version(2)), ..submission(id, change) }
    };
    match submit_and_wait(&mut sim, based(4, "bays")) {
        Outcome::Refused(RefusedChange::Conflict(winner)) => {
            assert_eq!((winner.version, &*winner.summary), (version(3), "create version bays/v1"));
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(submit_and_wait(&mut sim, based(5, "taller")), Outcome::Accepted(version(4)));
}

/// Guards against an operator of one team changing a service of another team.
#[test]
fn submit_wrong_team() {
    let mut sim = sim_with_services();
    let by_other_team =
        |change| Submission { team: Some(name("wellboats")), ..submission(3, change) };
    let expected = Outcome::Refused(RefusedChange::Invalid(vec![ConfigError::WrongTeam(
        name("bays"),
        name("depots"),
    )]));
    assert_eq!(submit_and_wait(&mut sim, by_other_team(create_version("bays", "v1"))), expected);
    let content = sim.store.values[0].content.clone();
    let restore = Change::Restore { version: version(1), content: Box::new(content) };
    assert_eq!(submit_and_wait(&mut sim, by_other_team(restore)), expected);
}

/// Guards against a dry run that writes to the store.
#[test]
fn submit_dry_run() {
    let mut sim = sim_with_services();
    let change = create_version("bays", "v1");
    let lines =
        match submit_and_wait(&mut sim, Submission { dry_run: true, ..submission(3, change) }) {
            Outcome::WouldAccept(lines) => lines,
            other => panic!("{other:?}"),
        };
    assert!(lines.contains(&"version bays/v1: created".to_owned()), "{lines:?}");
    assert_eq!(sim.newest(), version(2));
}

/// Guards against an unbounded queue of submissions, and against a refusal that is wrong or
/// takes longer than 5 s while the store is down.
#[test]
fn submit_store_down() {
    let mut sim = sim_with_services();
    sim.store.down = true;
    let ids: Vec<RequestId> = (0..=MAX_JOBS as u64)
        .map(|n| sim.submit(0, submission(10 + n, create_service(&format!("s{n}")))))
        .collect();
    sim.run(5_200);
    let outcomes: Vec<&Outcome> = ids.iter().map(|id| &sim.nodes[0].outcomes[id]).collect();
    assert_eq!(*outcomes[MAX_JOBS], Outcome::Refused(RefusedChange::Busy));
    let refused = Outcome::Refused(RefusedChange::StoreUnreachable);
    assert!(outcomes[..MAX_JOBS].iter().all(|outcome| **outcome == refused), "{outcomes:?}");
}

/// Guards against a write whose reply is lost and whose outcome is not found by reading it
/// back.
#[test]
fn submit_answer_lost() {
    let mut sim = sim_with_services();
    sim.store.lost_writes = 100;
    let change = submission(3, create_service("utileria"));
    assert_eq!(submit_and_wait(&mut sim, change), Outcome::Accepted(version(3)));
}

/// Guards against reporting a refusal although the write may still take effect: its reply is
/// lost, and then the store is down.
#[test]
fn submit_answer_lost_then_down() {
    let mut sim = sim_with_services();
    sim.store.lost_writes = 100;
    let change = submission(3, create_service("utileria"));
    let write_id = change.write_id;
    let unknown = sim.submit(0, change);
    sim.run(20);
    sim.store.down = true;
    sim.run(6_000);
    assert_eq!(sim.nodes[0].outcomes[&unknown], Outcome::Unknown(write_id));
    sim.store.down = false;
    let id = RequestId::new(u64::MAX);
    sim.event(0, Event::QueryOutcome { id, write_id });
    sim.run(1_000);
    let expected = match sim.store.contains(write_id) {
        true => Outcome::Accepted(version(3)),
        false => Outcome::NotFound(write_id, version(2)),
    };
    assert_eq!(sim.nodes[0].outcomes[&id], expected);
}

/// Guards against writing a change twice when its operator repeats the submission.
#[test]
fn submit_same_write_id() {
    let mut sim = sim_with_services();
    let again = submission(1, create_service("bays"));
    assert_eq!(submit_and_wait(&mut sim, again), Outcome::Accepted(version(1)));
}

/// Guards against a refusal after the reply to a write was lost and its repetition found a
/// conflict, which may be with the first copy.
#[test]
fn reply_conflict_with_itself() {
    let mut rng = SmallRng::seed_from_u64(1);
    let (id, held, wall) = (JobId::StopMarks(1), ConfigVersion::default(), UnixMillis::new(1));
    let change = submission(1, create_service("bays"));
    let write_id = change.write_id;
    let mut writer = StoreWriter::default();
    assert!(writer.submit(id, change, Instant::new(0)));
    let empty_value = StoreReply::Value(StoredConfig { revision: Revision::new(0), config: None });
    let error_reply = StoreReply::Failed;
    let replies = [
        empty_value.clone(),
        error_reply(StoreError::Unknown),
        empty_value,
        error_reply(StoreError::Conflict),
    ];
    for (second, reply) in (1..).zip(replies) {
        let now = Instant::new(second * 1_000_000);
        writer.poll(now);
        writer.reply(id, reply, held, (now, wall), &mut rng);
    }
    let end = writer.poll(Instant::new(5_000_000));
    assert!(
        matches!(&end[..], [WriterStep::Done(_, Outcome::Unknown(found), None)] if *found == write_id)
    );
}
