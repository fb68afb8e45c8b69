//! What an owner may grant after a start or a pause.

use almondsail_core::fleet::Quota;
use almondsail_core::ids::{ConfigVersion, NodeId, QuotaRequestId};
use almondsail_core::quota::{
    QuotaMembers, QuotaNode, QuotaNodeCounts, QuotaOwner, QuotaRequest, QuotaSettings, TokenCount,
};
use almondsail_core::units::{CallRate, Instant, Micros, Millis};

const START: Instant = Instant::new(1_000_000_000);
const QUOTA: Quota = Quota { rate: CallRate::from_milli(10_000), burst: 100 };
/// The calls within the tolerance with which a bucket starts.
const INITIAL: u32 = 5;

/// Returns the members of a fleet of one node at `now`.
fn members(now: Instant, known: &QuotaMembers) -> QuotaMembers {
    let address = "10.0.0.2:7000".parse().unwrap();
    let node = QuotaNode::new(known.own.clone(), address, Micros::new(0));
    let counts = QuotaNodeCounts { fresh: 1, local: 1, known: 1 };
    known.update(now, vec![node], counts, |_: &NodeId| false)
}

fn new_members() -> QuotaMembers {
    members(START, &QuotaMembers::new("own".parse().unwrap(), START))
}

/// Takes all tokens that the owner grants at `now`.
fn take_all(owner: &mut QuotaOwner, now: Instant, members: &QuotaMembers) -> u32 {
    let request = QuotaRequest {
        id: QuotaRequestId::new(1),
        team: "acme".parse().unwrap(),
        wanted: TokenCount::new(1),
        max_wait: Millis::new(0),
        config_version: ConfigVersion::new(1),
    };
    let mut taken = 0;
    while owner.answer(now, members, Some(&QUOTA), &request).granted.get() > 0 {
        taken += 1;
    }
    taken
}

/// Guards against an owner that starts with a full burst, which an earlier owner may have granted.
#[test]
fn grant_after_start() {
    let mut owner = QuotaOwner::new(QuotaSettings::default());
    assert_eq!(take_all(&mut owner, START, &new_members()), INITIAL);
}

/// Guards against an owner that grants during or after a pause what another one granted meanwhile.
#[test]
fn grant_after_pause() {
    let mut owner = QuotaOwner::new(QuotaSettings::default());
    let before = new_members();
    take_all(&mut owner, START, &before);
    let woken = START + Millis::new(8_000);
    assert_eq!(take_all(&mut owner, woken, &before), 0);
    assert_eq!(take_all(&mut owner, woken, &members(woken, &before)), INITIAL);
}

/// Guards against an owner that forgets the tokens of a team without calls.
#[test]
fn grant_after_idle_time() {
    let mut owner = QuotaOwner::new(QuotaSettings::default());
    let mut present = new_members();
    take_all(&mut owner, START, &present);
    let mut now = START;
    for _ in 0..200 {
        now = now + Millis::new(100);
        present = members(now, &present);
    }
    assert_eq!(take_all(&mut owner, now, &present), QUOTA.burst);
}
