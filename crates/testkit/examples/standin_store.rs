//! Runs the test double of the platform's key-value service as a process of its own.

use almondsail_testkit::store::{StoreOptions, StoreServer};
use almondsail_testkit::{BoundAddresses, stop_signal};
use eyre::Result;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let server = StoreServer::bind(StoreOptions::from_args()?).await?;
    BoundAddresses::default().with_address("address", server.address()?).print()?;
    let (_never, running) = tokio::sync::watch::channel(false);
    tokio::select! {
        () = server.serve(running) => Ok(()),
        stopped = stop_signal() => stopped,
    }
}
