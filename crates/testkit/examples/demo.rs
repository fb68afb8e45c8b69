//! Demonstrates a mesh of eight nodes in two data centres: calls, the loss of a node
//! with a configuration change meanwhile, a failing and a successful rollout, and a
//! fleet on the test doubles of the platform.

use std::process::ExitCode;

use almondsail_core::units::ByteCount;
use almondsail_testkit::backend::{Fault, FaultRule, Faults};
use almondsail_testkit::harness::wait_until;
use almondsail_testkit::mesh::{Mesh, Operator, ProcessUsage};
use almondsail_testkit::platform::Fleet;
use almondsail_testkit::stop_signal;
use almondsail_testkit::traffic::{
    Audit, CallOutcome, CallRequest, CallResults, Caller, Load, LoadOptions,
};
use eyre::{Result, bail, ensure, eyre};
use http::Method;

const SERVICES: [&str; 4] = ["bays", "traslados", "taller", "utileria"];
/// The largest resident memory of an idle node.
const MEMORY_LIMIT: ByteCount = ByteCount::new(32 * 1024 * 1024);
/// Number of calls printed for each service.
const CALLS_PER_SERVICE: u64 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    // Dropping the future kills its processes, also after a signal.
    let result = tokio::select! {
        result = run_demo() => result,
        stopped = stop_signal() => stopped.and_then(|()| Err(eyre!("stopped by a signal"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("\nThe demo failed: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the demo; all processes have exited when this returns.
async fn run_demo() -> Result<()> {
    let mut mesh = start().await?;
    show_memory(&mut mesh)?;
    configure(&mesh).await?;
    show_calls(&mesh).await?;
    println!(
        "\n== What the nodes know of each other\n{}",
        mesh.operator(5)?.run("show nodes").await?
    );
    show_node_loss(&mut mesh).await?;
    drop(mesh);
    show_rollouts().await?;
    show_fleet().await?;
    println!("\nThe demo ended without a fault.");
    Ok(())
}

/// Starts eight nodes, four of them with a backend server; the others only forward calls.
async fn start() -> Result<Mesh> {
    println!("== Start: a store, 8 nodes in 2 data centres, 4 backend servers");
    let mesh = Mesh::builder().nodes(8).backends(4).services(&SERVICES).start().await?;
    for (index, node) in mesh.nodes().iter().enumerate() {
        let backend = if node.backend.is_some() { &node.service } else { "no backend server" };
        println!("{:12} callers {}  {backend}", node.name, mesh.address(index, "callers")?);
    }
    Ok(mesh)
}

fn show_memory(mesh: &mut Mesh) -> Result<()> {
    println!("\n== Resident memory of each idle node (limit {} KB)", MEMORY_LIMIT.get() / 1_024);
    for node in mesh.nodes().to_vec() {
        let memory = ProcessUsage::of(mesh.harness().pid(node.node)?)?.memory;
        println!("{:12} {:6} KB", node.name, memory.get() / 1_024);
        ensure!(memory <= MEMORY_LIMIT, "{} uses {memory}", node.name);
    }
    Ok(())
}

async fn configure(mesh: &Mesh) -> Result<()> {
    println!("\n== An operator creates services, versions and routes");
    let operator = mesh.operator(0)?;
    for command in SERVICES.iter().flat_map(|service| Mesh::service_commands(service)) {
        println!("$ almondsail run \"{command}\"");
        print!("{}", operator.run(&command).await?);
    }
    for service in SERVICES {
        mesh.wait_until_served(&format!("/{service}/item")).await?;
    }
    println!("Every node routes calls to every service.");
    Ok(())
}

async fn show_calls(mesh: &Mesh) -> Result<()> {
    println!("\n== Calls through nodes that are not beside the service");
    let addresses = mesh.caller_addresses();
    let mut results = CallResults::default();
    for (index, service) in SERVICES.iter().enumerate() {
        let node_index = index + SERVICES.len();
        let caller = Caller::new(addresses.clone());
        for n in 0..CALLS_PER_SERVICE {
            let request = match n {
                0 => CallRequest::lookup(service, n),
                _ => CallRequest::booking(service, "demo", n),
            };
            let (outcome, sent) = caller.call(node_index, &request).await;
            results.count(&request, &outcome, sent);
            let CallOutcome::Answered(echo) = outcome else {
                bail!("{request:?} ended as {outcome:?}")
            };
            let (method, target) = (request.method.as_str(), &request.target);
            let entry = &mesh.nodes()[node_index % addresses.len()].name;
            println!(
                "{method:4} {target:22} through {entry:12} -> {} {}",
                echo.service, echo.version
            );
        }
    }
    check(mesh, &results)
}

/// Kills a node without a backend server under load and changes the configuration meanwhile.
async fn show_node_loss(mesh: &mut Mesh) -> Result<()> {
    let last = mesh.nodes().len() - 1;
    println!("== {} is killed under load; a route is created meanwhile", mesh.nodes()[last].name);
    let survivors = mesh.caller_addresses()[..last].to_vec();
    let load = Load::start(&Caller::new(survivors), &LoadOptions::for_services(&SERVICES));
    mesh.kill_node(last)?;
    let command = "create route extra service bays prefix /extra idempotent \
                   priority interactive deadline 5000ms";
    print!("{}", mesh.operator(1)?.run(command).await?);
    mesh.wait_until_served("/extra/item").await?;
    mesh.start_node(last).await?;
    mesh.wait_until_served("/extra/item").await?;
    println!("The route is in force everywhere, also on the node that was started again.");
    check(mesh, &load.stop().await?)
}

/// Rolls a service out to a version that fails, then to the same version once it works.
async fn show_rollouts() -> Result<()> {
    println!("\n== A service with backend servers of two versions; v2 fails every call");
    let mesh = Mesh::builder().versions(&["v1", "v2"]).start().await?;
    mesh.configure(&["bays"]).await?;
    let operator = mesh.operator(0)?;
    operator.run("create version bays/v2").await?;
    mesh.wait_until_served("/bays/item").await?;
    let fails = FaultRule::new("/bays", Fault::Fail { per_mille: 1_000 });
    for index in (1..mesh.nodes().len()).step_by(2) {
        mesh.set_faults(index, &Faults::of_calls([fails.clone()])).await?;
    }
    let load =
        Load::start(&Caller::new(mesh.caller_addresses()), &LoadOptions::for_services(&["bays"]));
    show_rollout(&operator, "move bays to v2 in 1m", "rolled-back").await?;

    println!("== v2 is repaired; an operator clears the stop and moves again");
    for index in (1..mesh.nodes().len()).step_by(2) {
        mesh.set_faults(index, &Faults::default()).await?;
    }
    println!("$ almondsail run \"clear stop bays/v2\"");
    print!("{}", operator.run("clear stop bays/v2").await?);
    show_rollout(&operator, "move bays to v2 in 20s", "completed").await?;
    load.stop().await?;
    println!("{}", operator.run("show history bays").await?);
    Ok(())
}

/// Runs the command of a rollout and waits until `phase` occurs in the list of rollouts.
async fn show_rollout(operator: &Operator, command: &str, phase: &str) -> Result<()> {
    println!("$ almondsail run \"{command}\"");
    print!("{}", operator.run(command).await?);
    wait_until(phase, || async {
        let shown = operator.run("show rollouts bays").await?;
        ensure!(shown.contains(phase), "{shown}");
        Ok(())
    })
    .await?;
    println!("{}", operator.run("show rollouts bays").await?);
    Ok(())
}

fn check(mesh: &Mesh, results: &CallResults) -> Result<()> {
    println!("{results}");
    let audit = Audit::of(results, &mesh.executions()?);
    ensure!(results.lost() == 0, "calls were lost");
    ensure!(audit.is_clean(), "calls ran twice or not at all: {audit:?}");
    println!("No call was lost and none ran twice.");
    Ok(())
}

/// Runs a fleet that reads its configuration from a test double of the users' platform.
async fn show_fleet() -> Result<()> {
    println!("\n== A fleet on the platform's stand-ins: 4 nodes in 2 data centres");
    let services = ["bays", "traslados"];
    let mut fleet = Fleet::start(&["dc-a", "dc-b"], &services).await?;
    fleet.configure(1, &services);
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_ready(node).await?;
        for service in services {
            fleet.wait_until_served(node, service).await?;
        }
    }
    println!("version 1 is in force everywhere, {} calls to the store", fleet.store.calls());
    for (node, service) in [(0, "bays"), (0, "traslados"), (3, "bays")] {
        let host = format!("{service}.example");
        let headers = [("host", host.as_str()), ("almondsail-attempt-id", "demo")];
        let client = fleet.caller(node)?;
        let reply = client.send(Method::POST, "/unsafe/", "x".into(), &headers).await?;
        ensure!(reply.status == 200, "{service} through node {node}: {}", reply.status);
        let server = String::from_utf8_lossy(&reply.body).into_owned();
        println!("{:14} POST {service}: {} by {server}", fleet.nodes[node].name, reply.status);
    }
    fleet.kill(0)?;
    fleet.wait_until_served(1, "bays").await?;
    println!("{} was killed; bays is served by the other data centre", fleet.nodes[0].name);
    Ok(())
}
