//! Tests of a fleet whose backend servers write answers again, too early, cut, without end or with
//! odd statuses, or are full or hang.

mod cut_answers;
mod endless_answers;
mod full_servers;
mod hanging_servers;
mod hedged_calls;
mod large_bodies;
mod odd_statuses;
mod repeated_answers;
mod slow_callers;

use almondsail_testkit::harness::wait_until;
use almondsail_testkit::http::{HttpClient, Reply};
use almondsail_testkit::platform::{Fleet, RawWorker};
use eyre::{Result, ensure};
use http::Method;

const SERVICES: [&str; 2] = ["traslados", "bays"];
/// The caller's deadline, which no request should need.
const DEADLINE_MS: &str = "15000";

/// Starts a node with a proper worker of the service `traslados`, and one node with a raw worker of
/// the service `bays` in each of `data_centres`, which are equally far from the first node.
async fn start(data_centres: &[&str]) -> Result<(Fleet, Vec<RawWorker>)> {
    let mut fleet = Fleet::start(&["dc-c"], &["traslados"]).await?;
    let mut workers = Vec::new();
    for data_centre in data_centres {
        workers.push(fleet.add_raw_node(data_centre, "bays").await?);
    }
    fleet.configure(1, &SERVICES);
    fleet.wait_until_ready(0).await?;
    for service in SERVICES {
        fleet.wait_until_served(0, service).await?;
    }
    // A node that was just started hears the nodes of other data centres up to a second later.
    for (node, _) in workers.iter().enumerate() {
        for service in SERVICES {
            fleet.wait_until_raw_serves(node, service).await?;
        }
    }
    wait_until("requests at all raw workers", || async {
        let path = "/safe/start";
        ensure!(send(&fleet.caller(0)?, path, "start", "").await?.status == 200);
        ensure!(workers.iter().all(|worker| worker.arrivals(path) > 0));
        Ok(())
    })
    .await?;
    Ok((fleet, workers))
}

/// Sends a request to the service `bays`. The id is left out if it is empty.
async fn send(client: &HttpClient, path: &str, id: &str, body: &str) -> Result<Reply> {
    let method = if path.starts_with("/safe/") { Method::GET } else { Method::POST };
    let mut headers = vec![("host", "bays.example"), ("almondsail-deadline-ms", DEADLINE_MS)];
    if !id.is_empty() {
        headers.push(("almondsail-attempt-id", id));
    }
    client.send(method, path, body.to_owned().into(), &headers).await
}
