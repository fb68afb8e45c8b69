//! Tests of the authentication of messages between nodes.

use almondsail_core::control::PeerMessage;
use almondsail_core::ids::ConfigVersion;
use almondsail_node::peer_link::{Direction, FrameSeal, OpenError};
use almondsail_node::settings::InstallationKey;
use almondsail_seeded::properties;
use almondsail_wire::peer::SealedFrame;

fn seal(byte: u8) -> FrameSeal {
    FrameSeal::new(InstallationKey::new(&[byte; InstallationKey::MIN_BYTES]).unwrap())
}

fn message() -> PeerMessage {
    PeerMessage::Ack(ConfigVersion::new(7))
}

/// Guards against rejecting a frame from a node of the same installation.
#[test]
fn open_own_frame() {
    let frame = seal(1).seal(Direction::Request, &message());
    assert_eq!(seal(1).open(Direction::Request, &frame).unwrap(), message());
}

/// Guards against accepting messages from another installation.
#[test]
fn open_other_key() {
    let frame = seal(1).seal(Direction::Request, &message());
    let opened = seal(2).open(Direction::Request, &frame);
    assert!(matches!(opened, Err(OpenError::Unauthenticated)));
}

/// Guards against accepting a recorded request that is replayed as a reply.
#[test]
fn open_other_direction() {
    let frame = seal(1).seal(Direction::Request, &message());
    let opened = seal(1).open(Direction::Reply, &frame);
    assert!(matches!(opened, Err(OpenError::Unauthenticated)));
}

/// Guards against accepting a frame of which any byte was changed in transit.
#[test]
fn open_changed_frame() {
    let frame = seal(1).seal(Direction::Request, &message());
    for i in 0..frame.body.len() {
        let mut changed = frame.clone();
        changed.body[i] ^= 1;
        let opened = seal(1).open(Direction::Request, &changed);
        assert!(matches!(opened, Err(OpenError::Unauthenticated)), "byte {i}");
    }
}

properties! {
    /// Guards against a panic on, or acceptance of, arbitrary bytes from the network.
    fn open_any_bytes(body: Vec<u8>, tag: Vec<u8>) -> bool {
        seal(1).open(Direction::Request, &SealedFrame { body, tag }).is_err()
    }
}
