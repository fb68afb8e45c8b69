//! A worker: a backend server of the platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, ensure};
use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::watch;

use crate::http::{Handled, HttpClient, HttpServer, ReplyBody, ServerOptions};

/// What a worker does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFault {
    /// Nothing.
    None,
    /// It runs requests and closes without an answer.
    LosesAnswers,
    /// It refuses every request unrun.
    Sheds,
    /// It answers with another request's id.
    WrongId,
    /// It is at work on requests until their connection closes.
    Stalls,
}

/// What a worker says of itself.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// Its data centre.
    pub data_centre: String,
    /// How long a request runs.
    pub run_time: Duration,
}

/// A worker in this process.
#[derive(Debug, Clone)]
pub struct Worker {
    address: SocketAddr,
    options: WorkerOptions,
    started_at: u64,
    sequence: Arc<AtomicU64>,
    shared: Arc<Shared>,
    _stop: Arc<watch::Sender<bool>>,
}

#[derive(Debug)]
struct Shared {
    options: WorkerOptions,
    fault: Mutex<WorkerFault>,
    /// The ids of the requests that ran, in order, with what came with them.
    ran: Mutex<Vec<ExecutedRequest>>,
    /// The requests at which it is at work.
    running: AtomicUsize,
}

/// A request at which a worker is at work. Dropped when it ends or its connection closes.
struct RunningRequest(Arc<Shared>);

impl RunningRequest {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// The attempt's id.
    pub id: String,
    /// The service from which it came.
    pub caller: String,
    /// The time that it was given, in milliseconds.
    pub deadline_ms: u64,
}

impl Worker {
    /// Starts it on `address`; it announces itself when it is told to.
    pub async fn start(address: SocketAddr, options: WorkerOptions) -> Result<Self> {
        let server = HttpServer::bind(address, ServerOptions::default()).await?;
        let address = server.address()?;
        let fault = Mutex::new(WorkerFault::None);
        let shared = Arc::new(Shared {
            options: options.clone(),
            fault,
            ran: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let (stop, stopped) = watch::channel(false);
        let handler = {
            let shared = Arc::clone(&shared);
            move |req| run(Arc::clone(&shared), req)
        };
        tokio::spawn(server.serve(handler, stopped));
        let (sequence, stop) = (Arc::default(), Arc::new(stop));
        Ok(Self { address, options, started_at: 1_000, sequence, shared, _stop: stop })
    }

    /// Where it takes requests.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what it does wrong.
    pub fn set_fault(&self, fault: WorkerFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// The requests that ran.
    pub fn ran(&self) -> Vec<ExecutedRequest> {
        self.shared.ran.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The number of requests at which it is at work.
    pub fn at_work(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Announces `state` at the node's address for announcements.
    pub async fn announce(&self, node: SocketAddr, state: &str) -> Result<()> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = json!({
            "address": self.address.to_string(),
            "born": self.started_at,
            "info": {
                "service": self.options.service,
                "version": self.options.version,
                "zone": self.options.data_centre,
                "capacity": 4,
            },
            "status": {"state": state, "sequence": sequence, "cold_remaining_ms": 0},
        });
        let reply = HttpClient::new(node).put(&self.path(), body.to_string()).await?;
        ensure!(reply.status == 200, "the announcement got {}", reply.status);
        Ok(())
    }

    /// Says that it leaves.
    pub async fn leave(&self, node: SocketAddr) -> Result<()> {
        let reply = HttpClient::new(node).delete(&self.path()).await?;
        ensure!(reply.status == 200, "the notice got {}", reply.status);
        Ok(())
    }

    fn path(&self) -> String {
        format!("/almondsail/instances/{}", self.options.id)
    }
}

async fn run(shared: Arc<Shared>, req: Request<Incoming>) -> Handled {
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("almondsail-attempt-id");
    let response = Response::builder().header("almondsail-attempt-id", &id);
    let answer = |response: http::response::Builder, body: String| {
        response.body(ReplyBody::complete(body)).map_or(Handled::Close, Handled::Answer)
    };
    if header("almondsail-expected-instance") != shared.options.id {
        return answer(response.status(421), String::new());
    }
    let fault = *shared.fault.lock().unwrap_or_else(PoisonError::into_inner);
    if fault == WorkerFault::Sheds {
        let refused = response.status(503).header("almondsail-not-executed", "1");
        return answer(refused, String::new());
    }
    let ran = ExecutedRequest {
        id: id.clone(),
        caller: header("almondsail-caller-service"),
        deadline_ms: header("almondsail-deadline-ms").parse().unwrap_or(0),
    };
    shared.ran.lock().unwrap_or_else(PoisonError::into_inner).push(ran);
    let _running = RunningRequest::new(&shared);
    let Ok(body) = req.into_body().collect().await else { return Handled::Close };
    if fault == WorkerFault::Stalls {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(shared.options.run_time).await;
    let signed = response.header("almondsail-server-signature", format!("signed-{id}"));
    let text = format!("{} {}", shared.options.id, String::from_utf8_lossy(&body.to_bytes()));
    match fault {
        WorkerFault::LosesAnswers => Handled::Close,
        WorkerFault::WrongId => {
            let wrong = Response::builder().header("almondsail-attempt-id", "another");
            answer(wrong.header("almondsail-server-signature", "s"), text)
        }
        WorkerFault::None | WorkerFault::Sheds | WorkerFault::Stalls => answer(signed, text),
    }
}
