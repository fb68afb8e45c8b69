//! A test double of a worker, the platform's kind of backend server.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use http::header::{AUTHORIZATION, HeaderMap};
use http::{Request, Response};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::worker_announcements::WorkerAnnouncements;
use crate::http::{Handled, HttpServer, ReplyBody, ServerOptions};

/// The fault injected into a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFault {
    /// Executes and answers requests without a fault.
    None,
    /// Executes requests and closes the connection without an answer.
    LosesAnswers,
    /// Rejects every request without executing it.
    Sheds,
    /// Executes requests and answers with the id of another request.
    WrongId,
    /// Executes requests and answers with the header in which nodes report failed calls, as for a
    /// request that was not sent.
    ClaimsFailure,
    /// Executes requests until their connection closes.
    Stalls,
}

/// The properties that a worker announces, and its run time.
#[derive(Debug, Clone)]
pub struct WorkerOptions {
    /// The instance id under which the worker announces itself.
    pub id: String,
    /// The service that the worker provides.
    pub service: String,
    /// The version of the worker's software.
    pub version: String,
    /// The data centre in which the worker claims to run.
    pub data_centre: String,
    /// The number of requests that the worker claims to execute at a time.
    pub slots: u32,
    /// The time that the execution of a request takes.
    pub run_time: Duration,
}

/// A test double of a worker that runs in this process.
#[derive(Debug, Clone)]
pub struct Worker {
    announcements: WorkerAnnouncements,
    shared: Arc<Shared>,
    _stop: Arc<watch::Sender<bool>>,
}

#[derive(Debug)]
struct Shared {
    fault: Mutex<WorkerFault>,
    run_time: Mutex<Duration>,
    /// The requests that were executed or are running, in the order of their start.
    executed: Mutex<Vec<ExecutedRequest>>,
    /// Number of requests that are running.
    running: AtomicUsize,
}

/// Counts a request as running until dropped, when it ends or its connection closes.
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

/// A request that a worker executed or is executing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// The attempt id from the request's header; empty if absent.
    pub id: String,
    /// The service that sent the request, according to its header; empty if absent.
    pub caller: String,
    /// The time until the deadline on arrival, in milliseconds; zero if absent.
    pub deadline_ms: u64,
    /// The team that the call belongs to, according to its headers, joined by commas if there are
    /// several; empty if absent.
    pub team: String,
    /// Whether the request carries a credential.
    pub has_credential: bool,
    /// The id that the worker had.
    pub server: String,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Worker {
    /// Starts a worker that listens on `address`; it sends no announcements by itself.
    pub async fn start(address: SocketAddr, options: WorkerOptions) -> Result<Self> {
        let server = HttpServer::bind(address, ServerOptions::default()).await?;
        let address = server.address()?;
        let fault = Mutex::new(WorkerFault::None);
        let shared = Arc::new(Shared {
            fault,
            run_time: Mutex::new(options.run_time),
            executed: Mutex::default(),
            running: AtomicUsize::new(0),
        });
        let (stop, stopped) = watch::channel(false);
        let announcements = WorkerAnnouncements::new(address, options);
        let handler = {
            let (shared, announcements) = (Arc::clone(&shared), announcements.clone());
            move |req| run(Arc::clone(&shared), announcements.clone(), req)
        };
        tokio::spawn(server.serve(handler, stopped));
        Ok(Self { announcements, shared, _stop: Arc::new(stop) })
    }

    /// Returns the address on which the worker accepts requests.
    pub const fn address(&self) -> SocketAddr {
        self.announcements.address()
    }

    /// Sets the fault for the requests that arrive from now on.
    pub fn set_fault(&self, fault: WorkerFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets how long the execution of requests takes that arrive from now on.
    pub fn set_run_time(&self, run_time: Duration) {
        *self.shared.run_time.lock().unwrap_or_else(PoisonError::into_inner) = run_time;
    }

    /// Sets the time for which the worker announces from now on that it stays cold.
    pub fn set_cold(&self, cold: Duration) {
        self.announcements.set_cold(cold);
    }

    /// Returns the requests that were executed or are running, in the order of their start.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.shared.executed.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the requests from the `first`th on, like [`Self::executed_requests`].
    pub fn executed_since(&self, first: usize) -> Vec<ExecutedRequest> {
        self.shared.executed.lock().unwrap_or_else(PoisonError::into_inner)[first..].to_vec()
    }

    /// Returns the id under which the worker announces itself.
    pub fn id(&self) -> String {
        self.announcements.id()
    }

    /// Lets another worker with this id take the place of this one, at the same address.
    pub fn replace(&self, id: &str) {
        self.announcements.replace(id);
    }

    /// Returns the number of requests that are running.
    pub fn running_requests(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Announces the worker with `state` to the node that accepts announcements at `node`.
    pub async fn announce(&self, node: SocketAddr, state: &str) -> Result<()> {
        self.announcements.announce(node, state).await
    }

    /// Announces to the node that the worker leaves.
    pub async fn leave(&self, node: SocketAddr) -> Result<()> {
        self.announcements.leave(node).await
    }

    /// Announces the worker as ready to `node`, again and again until the task is aborted.
    pub(super) fn announce_repeatedly(&self, node: SocketAddr) -> JoinHandle<()> {
        self.announcements.clone().repeat(node)
    }
}

fn all_values(headers: &HeaderMap, name: &str) -> String {
    let values = headers.get_all(name).iter().map(|value| value.to_str().unwrap_or("?"));
    values.collect::<Vec<_>>().join(",")
}

async fn run(
    shared: Arc<Shared>,
    announcements: WorkerAnnouncements,
    req: Request<Incoming>,
) -> Handled {
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = header("almondsail-attempt-id");
    let response = Response::builder().header("almondsail-attempt-id", &id);
    let answer = |response: http::response::Builder, body: String| {
        response.body(ReplyBody::complete(body)).map_or(Handled::Close, Handled::Answer)
    };
    let server = announcements.id();
    if header("almondsail-expected-instance") != server {
        return answer(response.status(421), String::new());
    }
    let fault = *shared.fault.lock().unwrap_or_else(PoisonError::into_inner);
    if fault == WorkerFault::Sheds {
        let refused = response.status(503).header("almondsail-not-executed", "1");
        return answer(refused, String::new());
    }
    let request = ExecutedRequest {
        id: id.clone(),
        caller: header("almondsail-caller-service"),
        deadline_ms: header("almondsail-deadline-ms").parse().unwrap_or(0),
        team: all_values(req.headers(), "almondsail-tenant"),
        has_credential: req.headers().contains_key(AUTHORIZATION),
        server: server.clone(),
        arrived: Instant::now(),
    };
    shared.executed.lock().unwrap_or_else(PoisonError::into_inner).push(request);
    let _running = RunningRequest::new(&shared);
    let Ok(body) = req.into_body().collect().await else { return Handled::Close };
    if fault == WorkerFault::Stalls {
        std::future::pending::<()>().await;
    }
    let run_time = *shared.run_time.lock().unwrap_or_else(PoisonError::into_inner);
    tokio::time::sleep(run_time).await;
    let signed = response.header("almondsail-server-signature", format!("signed-{id}"));
    let text = format!("{server} {}", String::from_utf8_lossy(&body.to_bytes()));
    match fault {
        WorkerFault::LosesAnswers => Handled::Close,
        WorkerFault::WrongId => {
            let wrong = Response::builder().header("almondsail-attempt-id", "another");
            answer(wrong.header("almondsail-server-signature", "s"), text)
        }
        WorkerFault::ClaimsFailure => {
            answer(signed.header("almondsail-failure", "not-sent backend_down false 0"), text)
        }
        WorkerFault::None | WorkerFault::Sheds | WorkerFault::Stalls => answer(signed, text),
    }
}
