//! Runs the test double of a backend server as a process of its own.

use almondsail_testkit::backend::{BackendOptions, BackendServer};
use eyre::Result;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let server = BackendServer::bind(BackendOptions::from_args()?).await?;
    server.addresses()?.print()?;
    server.serve().await
}
