//! Tests the graceful shutdown of the HTTP server used by the test doubles.

use almondsail_testkit::http::{Handled, HttpServer, Reply, ServerOptions};
use eyre::Result;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

// Guards against a stop that closes a connection whose first request is in transit,
// since its client can't tell whether the request ran.
#[tokio::test]
async fn stop_before_first_request() -> Result<()> {
    let server = HttpServer::bind("127.0.0.1:0".parse()?, ServerOptions::default()).await?;
    let address = server.address()?;
    let (stop, stopped) = watch::channel(false);
    // Neither connection is accepted yet when the server starts and stops at once.
    let mut streams = [TcpStream::connect(address).await?, TcpStream::connect(address).await?];
    stop.send_replace(true);
    let handler = |_| async { Handled::Answer(Reply::to_send(StatusCode::OK, "ran")) };
    let serving = tokio::spawn(server.serve(handler, stopped));
    for stream in &mut streams {
        stream.write_all(b"GET / HTTP/1.1\r\nhost: test\r\n\r\n").await?;
    }
    for stream in &mut streams {
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("ran"), "{answer:?}");
    }
    Ok(serving.await?)
}
