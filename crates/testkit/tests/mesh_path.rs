//! Tests the path of calls through a mesh of processes.

use almondsail_testkit::mesh::Mesh;
use almondsail_testkit::traffic::{Audit, CallOutcome, CallRequest, CallResults, Caller};
use eyre::Result;

const SERVICES: [&str; 2] = ["bays", "traslados"];

// Guards against a failure at any step from an operator's commands to the
// execution of a call in another data centre.
#[tokio::test]
async fn path_two_data_centres() -> Result<()> {
    let mesh = Mesh::builder().services(&SERVICES).start().await?;
    mesh.configure(&SERVICES).await?;
    for service in SERVICES {
        mesh.wait_until_served(&format!("/{service}/item")).await?;
    }

    // Every node forwards calls to the service that its own backend server doesn't provide.
    let mut results = CallResults::default();
    for (index, entry) in mesh.caller_addresses().into_iter().enumerate() {
        let caller = Caller::new(vec![entry]);
        let other = SERVICES.iter().find(|name| **name != mesh.nodes()[index].service);
        let other = other.expect("a service of another node");
        let requests = [
            CallRequest::lookup(other, 1),
            CallRequest::booking(other, &format!("caller-{index}"), 2),
        ];
        for request in requests {
            let (outcome, sent) = caller.call(0, &request).await;
            results.count(&request, &outcome, sent);
            let CallOutcome::Answered(echo) = outcome else {
                panic!("{outcome:?} through {index}")
            };
            assert_eq!((&*echo.service, &*echo.version), (*other, Mesh::BACKEND_VERSION));
        }
    }
    assert_eq!(results.lost(), 0, "{results}");
    assert!(Audit::of(&results, &mesh.executions()?).is_clean());

    let nodes = mesh.operator(2)?.run("show nodes").await?;
    for node in mesh.nodes() {
        assert!(nodes.contains(&node.name), "{} is missing in\n{nodes}", node.name);
    }
    Ok(())
}
