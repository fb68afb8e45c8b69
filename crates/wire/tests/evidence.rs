//! Test of the encoded size of evidence reports.

use almondsail_core::control::PeerMessage;
use almondsail_core::ids::Incarnation;
use almondsail_core::rollout::{CallOutcome, EvidenceRecorder, HostSpeed};
use almondsail_core::units::{Micros, UnixMillis};
use almondsail_wire::encode_message;

const START: u64 = 1_800_000_000_000;
const ROUTES: [&str; 4] = ["bays-lookup", "bays-book", "bays-cancel", "bays-list"];
/// Largest report of 4 routes, in bytes; `docs/rollouts.md` states the actual size.
const MAX_REPORT_BYTES: usize = 355;

/// Guards against reports that grow unnoticed. The node has 4 routes, each with 10 calls/s whose
/// latencies are spread over 11 ms to 90 ms.
#[test]
fn encode_report_size() {
    let mut recorder = EvidenceRecorder::new(
        "bays".parse().unwrap(),
        "bays-1".parse().unwrap(),
        Incarnation::new(START),
        HostSpeed::REFERENCE,
    );
    let version = "v1".parse().unwrap();
    for call in 0..200_u64 {
        for route in ROUTES {
            let now = UnixMillis::new(START + call * 100);
            let latency = Micros::new(11_000 + call * call * 37 % 79_000);
            recorder.record(
                now,
                &route.parse().unwrap(),
                &version,
                CallOutcome::Answered,
                latency,
                1,
            );
        }
    }
    let report = recorder.report(UnixMillis::new(START + 19_999));
    assert_eq!(report.cells.len(), 8);
    let bytes = encode_message(&PeerMessage::Evidence(report)).len();
    assert!(bytes <= MAX_REPORT_BYTES, "{bytes} bytes");
    println!("{bytes} bytes");
}
