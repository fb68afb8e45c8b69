//! Pings nodes to learn which configuration version they hold.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use almondsail_core::control::PeerMessage;
use almondsail_core::ids::{ConfigVersion, NodeId};
use futures::{StreamExt, stream};

use crate::peer_link::ClientPool;

/// Limit on pings in flight at the same time.
const MAX_CONCURRENT_PINGS: usize = 64;
/// A node that has not answered by then is left out of the result.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends `ping` to `nodes` and returns the configuration versions from their answers. Runs only
/// for an operator's query, so its traffic is not part of the idle node's budget.
pub(crate) async fn query_versions(
    clients: &ClientPool,
    ping: PeerMessage,
    nodes: Vec<(NodeId, SocketAddr)>,
) -> BTreeMap<NodeId, ConfigVersion> {
    let ping_node = |(id, addr)| {
        let ping = &ping;
        async move {
            match clients.send(addr, ping, PING_TIMEOUT).await {
                Ok(PeerMessage::Pong(status)) if status.node == id => {
                    Some((id, status.config_version))
                }
                _ => None,
            }
        }
    };
    let answers = stream::iter(nodes).map(ping_node).buffer_unordered(MAX_CONCURRENT_PINGS);
    answers.filter_map(|answer| async { answer }).collect().await
}
