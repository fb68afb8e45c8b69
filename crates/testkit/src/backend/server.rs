//! The HTTP server of the test backend server.

use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use almondsail_core::Verdict;
use almondsail_core::peers::BackendState;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;

use super::ServiceTime;
use super::announcement_history::AnnouncementHistory;
use super::call::Call;
use super::slots::Slots;
use super::{Announcement, BackendOptions, Echo, ExecutionEnd, ExecutionLog, Faults, Plan};
use crate::http::{Handled, HttpClient, HttpServer, Reply, ReplyBody, ServerOptions};
use crate::{BoundAddresses, stop_signal};

/// Time between two announcements to the node.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which calls run longer during the cold start.
const COLD_START_FACTOR: u32 = 10;
/// How long a draining process must be idle before it exits. The node may still
/// send calls that it accepted before it learnt that the process leaves.
const IDLE_BEFORE_EXIT: Duration = Duration::from_millis(500);
/// The longest time for which a draining process waits for its calls.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(30);

/// The test double of a backend server.
#[derive(Debug)]
pub struct BackendServer {
    calls: HttpServer,
    /// Serves `/control/` on connections that don't count towards the limit for calls.
    control: HttpServer,
    backend: Arc<Backend>,
}

#[derive(Debug)]
struct Backend {
    options: BackendOptions,
    started: Instant,
    slots: Slots,
    /// Never locked across an `await`.
    state: Mutex<State>,
    draining: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    executions: ExecutionLog,
    log: Option<File>,
    faults: Faults,
    faults_set: Instant,
    node: Option<SocketAddr>,
    /// Whether a node accepted an announcement with the state `starting`. A node
    /// that saw an earlier process leave recognizes a new process only by that state.
    is_start_announced: bool,
    history: AnnouncementHistory,
    rng: SmallRng,
}

impl BackendServer {
    /// Binds the listeners for calls and for control requests.
    pub async fn bind(options: BackendOptions) -> Result<Self> {
        let limit = ServerOptions { max_connections: options.connections };
        let calls = HttpServer::bind(options.listen, limit).await?;
        let any_port = SocketAddr::new(options.listen.ip(), 0);
        let control = HttpServer::bind(any_port, ServerOptions::default()).await?;
        let backend = Arc::new(Backend::new(options)?);
        Ok(Self { calls, control, backend })
    }

    /// Returns the listening addresses: `address` for calls, `control` for control requests.
    pub fn addresses(&self) -> Result<BoundAddresses> {
        Ok(BoundAddresses::default()
            .with_address("address", self.calls.address()?)
            .with_address("control", self.control.address()?))
    }

    /// Serves until a stop signal or `PUT /control/drain`, then tells the node and
    /// waits for the calls in flight.
    pub async fn serve(self) -> Result<()> {
        let (stop, stopped) = watch::channel(false);
        let backend = self.backend;
        let serve = |server: HttpServer| {
            let backend = Arc::clone(&backend);
            let handler = move |req| {
                let backend = Arc::clone(&backend);
                async move { backend.handle(req).await }
            };
            tokio::spawn(server.serve(handler, stopped.clone()))
        };
        let (calls, _control) = (serve(self.calls), serve(self.control));
        let mut draining = backend.draining.subscribe();
        tokio::select! {
            () = backend.announce() => {}
            _ = draining.wait_for(|draining| *draining) => {}
            stopped = stop_signal() => stopped?,
        }
        backend.leave().await;
        stop.send_replace(true);
        calls.await.wrap_err("the server of calls failed")
    }
}

impl Backend {
    fn new(options: BackendOptions) -> Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let state = State {
            executions: ExecutionLog::default(),
            log: options
                .log
                .as_ref()
                .map(open)
                .transpose()
                .wrap_err("cannot open the execution log")?,
            faults: Faults::default(),
            faults_set: Instant::now(),
            node: options.node,
            is_start_announced: false,
            history: AnnouncementHistory::default(),
            rng: SmallRng::seed_from_u64(u64::from(std::process::id())),
        };
        Ok(Self {
            started: Instant::now(),
            slots: Slots::new(options.slots, options.queue),
            state: Mutex::new(state),
            draining: watch::Sender::new(false),
            options,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> BackendState {
        if *self.draining.borrow() {
            BackendState::Draining
        } else if self.is_cold() || !self.lock().is_start_announced {
            BackendState::Starting
        } else {
            BackendState::Ready
        }
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.options.cold_start
    }

    /// Announces this process to its node; never returns.
    async fn announce(&self) {
        let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
        loop {
            interval.tick().await;
            let Some(node) = self.lock().node else { continue };
            let client = HttpClient::new(node).with_timeout(ANNOUNCE_INTERVAL);
            // A failed announcement is not repeated; the next one replaces it.
            if self.announce_once(&client).await.is_ok() && !self.lock().is_start_announced {
                self.lock().is_start_announced = true;
                interval.reset_immediately();
            }
        }
    }

    async fn announce_once(&self, client: &HttpClient) -> Result<()> {
        let body = serde_json::to_vec(&self.announcement())?;
        client.put("/v1/backend", body).await?.success()
    }

    fn announcement(&self) -> Announcement {
        let actual = (self.state(), self.slots.load());
        let mut state = self.lock();
        let fault = state.faults.report.clone();
        let (reported, load) = state.history.next(Instant::now(), actual, &fault);
        Announcement {
            service: self.options.service.to_string(),
            version: self.options.version.to_string(),
            slots: self.options.slots,
            connections: self.options.connections,
            state: reported.as_str(),
            load,
        }
    }

    /// Tells the node that this process leaves, then waits for the calls in flight.
    async fn leave(&self) {
        self.draining.send_replace(true);
        let node = self.lock().node;
        if let Some(node) = node {
            let client = HttpClient::new(node).with_timeout(ANNOUNCE_INTERVAL * 5);
            if let Err(error) = client.post("/v1/backend/leave", "").await {
                eprintln!("cannot tell the node that this process leaves: {error:#}");
            }
        }
        let started = Instant::now();
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < IDLE_BEFORE_EXIT && started.elapsed() < MAX_DRAIN_TIME {
            tokio::time::sleep(IDLE_BEFORE_EXIT / 10).await;
            if self.slots.load() > 0 {
                idle_since = Instant::now();
            }
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Handled {
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else { return Handled::Close };
        let body = body.to_bytes();
        match parts.uri.path().strip_prefix("/control/") {
            Some(control) => Handled::Answer(self.control(&parts.method, control, &body)),
            None => Handled::Answer(self.call(&Call::new(&parts, &body)).await),
        }
    }

    fn control(&self, method: &Method, path: &str, body: &Bytes) -> Response<ReplyBody> {
        match (method, path) {
            (&Method::GET, "executions") => Reply::json_to_send(&self.lock().executions.all()),
            (&Method::PUT, "faults") => match serde_json::from_slice(body) {
                Ok(faults) => {
                    let mut state = self.lock();
                    (state.faults, state.faults_set) = (faults, Instant::now());
                    Reply::to_send(StatusCode::OK, "")
                }
                Err(error) => Reply::to_send(StatusCode::BAD_REQUEST, error.to_string()),
            },
            (&Method::PUT, "drain") => {
                self.draining.send_replace(true);
                Reply::to_send(StatusCode::OK, "")
            }
            (&Method::PUT, "node") => match String::from_utf8_lossy(body).trim().parse() {
                Ok(node) => {
                    self.lock().node = Some(node);
                    Reply::to_send(StatusCode::OK, "")
                }
                Err(_) => Reply::to_send(StatusCode::BAD_REQUEST, "expected an address"),
            },
            _ => Reply::to_send(StatusCode::NOT_FOUND, "unknown control request"),
        }
    }

    async fn call(&self, call: &Call) -> Response<ReplyBody> {
        let Some(_slot) = self.slots.acquire(call.deadline).await else {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, Verdict::RefusedUnrun);
        };
        if call.remaining().is_zero() {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, Verdict::RefusedUnrun);
        }
        let plan = self.plan(call);
        let running: Vec<RunningExecution<'_>> = (0..plan.runs).map(|_| self.begin(call)).collect();
        if !self.run(call, plan).await {
            return refusal(StatusCode::GATEWAY_TIMEOUT, Verdict::MayHaveRun);
        }
        let end = if plan.fails { ExecutionEnd::Failed } else { ExecutionEnd::Finished };
        let number = running.first().map_or(0, |first| first.number);
        running.into_iter().for_each(|execution| execution.end(end));
        self.answer(call, plan, number)
    }

    fn plan(&self, call: &Call) -> Plan {
        let time = ServiceTime::of(&self.options.service_times, &call.path).unwrap_or_default();
        let factor = if self.is_cold() { COLD_START_FACTOR } else { 1 };
        let load = self.slots.load();
        let mut state = self.lock();
        let State { faults, faults_set, rng, .. } = &mut *state;
        let now = (faults_set.elapsed(), load);
        faults.apply(Plan::fault_free(time * factor), &call.path, now, call.remaining(), rng)
    }

    fn begin(&self, call: &Call) -> RunningExecution<'_> {
        let mut state = self.lock();
        let State { executions, log, .. } = &mut *state;
        let number = executions.begin(&call.method, &call.path, call.key.as_deref());
        if let (Some(log), Some(execution)) = (log, executions.get(number)) {
            let line = serde_json::to_string(execution).unwrap_or_default() + "\n";
            if let Err(error) = log.write_all(line.as_bytes()) {
                eprintln!("cannot write the execution log: {error}");
            }
        }
        RunningExecution { backend: self, number, end: ExecutionEnd::Cancelled }
    }

    /// Waits for the run time of a call; returns false if its deadline came first.
    async fn run(&self, call: &Call, plan: Plan) -> bool {
        let time = plan.duration.unwrap_or(Duration::MAX);
        let (limit, is_in_time) = match call.deadline {
            Some(_) if !plan.ignores_deadline && call.remaining() < time => {
                (call.remaining(), false)
            }
            _ => (time, true),
        };
        tokio::time::sleep(limit).await;
        is_in_time
    }

    fn answer(&self, call: &Call, plan: Plan, execution: u64) -> Response<ReplyBody> {
        if plan.fails {
            return Reply::to_send(StatusCode::INTERNAL_SERVER_ERROR, "failed by a fault");
        }
        let echo = Echo {
            service: self.options.service.to_string(),
            version: self.options.version.to_string(),
            process: std::process::id(),
            method: call.method.clone(),
            path: call.path.clone(),
            body_sha256: call.digest.to_string(),
            key: call.key.clone(),
            execution,
        };
        let response = Reply::json_to_send(&echo);
        if !plan.is_truncated {
            return response;
        }
        let body = serde_json::to_vec(&echo).unwrap_or_default();
        response.map(|_| ReplyBody::truncated(body))
    }
}

/// Records the end of an execution when dropped: cancelled, unless `end` set another.
struct RunningExecution<'a> {
    backend: &'a Backend,
    number: u64,
    end: ExecutionEnd,
}

impl RunningExecution<'_> {
    fn end(mut self, end: ExecutionEnd) {
        self.end = end;
    }
}

impl Drop for RunningExecution<'_> {
    fn drop(&mut self) {
        self.backend.lock().executions.end(self.number, self.end);
    }
}

fn refusal(status: StatusCode, verdict: Verdict) -> Response<ReplyBody> {
    let mut response = Reply::to_send(status, "");
    let verdict = HeaderValue::from_static(verdict.as_str());
    response.headers_mut().insert("almondsail-verdict", verdict);
    response
}
