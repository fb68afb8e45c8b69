//! Answers of a backend server that end too early.

use std::collections::BTreeSet;

use almondsail_testkit::platform::RawStep;
use bytes::Bytes;
use eyre::Result;

use crate::{send, start};

/// Framings of an answer's body, with the empty line before it.
const FRAMINGS: [(&str, &str); 3] = [
    ("length", "Content-Length: 11\r\n\r\nhello world"),
    ("chunked", "Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n"),
    ("none", "\r\nhello world"),
];

// Guards against an answer that ends in its head or in its body and reaches the caller as a
// success, empty or short.
#[tokio::test]
async fn answer_cut() -> Result<()> {
    let (fleet, workers) = start(&["dc-a"]).await?;
    let mut wrong = Vec::new();
    for (name, framing) in FRAMINGS {
        let answer = move |id: &str| {
            let head = "HTTP/1.1 200 OK\r\nAlmondsail-Server-Signature: s\r\n";
            format!("{head}Almondsail-Attempt-Id: {id}\r\n{framing}")
        };
        let path = |length: usize| format!("/unsafe/{name}-{length:03}");
        let whole = answer(&path(0)).len();
        // Without a framing, the end of the connection is the end of the body.
        let cuts = if name == "none" { whole - "hello world".len() } else { whole };
        let lengths: BTreeSet<usize> = (0..cuts).step_by(3).chain([cuts - 2, cuts - 1]).collect();
        for length in lengths {
            workers[0].set_script(move |req| {
                let part = Bytes::copy_from_slice(&answer(&req.id).as_bytes()[..length]);
                vec![RawStep::ReadBody, RawStep::Write(part), RawStep::Close]
            });
            let path = path(length);
            let reply = send(&fleet.caller(0)?, &path, &path, "").await?;
            let arrivals = workers[0].arrivals(&path);
            if arrivals > 1 || (arrivals == 1 && reply.status != 502) {
                wrong.push((path, reply.status, arrivals));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    Ok(())
}
