//! Carries out a plan on a fleet of node processes.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use eyre::{Result, WrapErr as _, ensure};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::task::JoinHandle;

use crate::http::HttpClient;
use crate::platform::{Fleet, KvMode, KvServer, WorkerFault};

use super::caller::Caller;
use super::shared::Shared;
use super::{Action, Checker, DATA_CENTRES, FaultyProxy, LinkMode, NODES, Plan, Run, SERVICES};

/// Number of callers on the host of each node.
const CALLERS_PER_NODE: usize = 3;
/// Grace period of a node.
const GRACE: Duration = Duration::from_secs(6);
/// Time between two looks at the processes.
const TICK: Duration = Duration::from_millis(20);
/// Time after the plan in which all nodes must be ready and all calls must end.
const RECOVERY: Duration = Duration::from_secs(25);
/// Time limit of a readiness check, during which the run itself stands still.
const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit of the notices of a server that leaves.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of log lines that are kept of each call that shows a broken promise.
const MAX_LOG_LINES: usize = 12;

/// What a run showed.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// The broken promises, with the log lines of their calls.
    pub findings: Vec<String>,
    /// How many calls ended with each status; those without one count as 0.
    pub statuses: BTreeMap<u16, usize>,
    /// The number of configurations that were accepted.
    pub configs: u32,
    /// The longest time by which the machine held up the run itself.
    pub host_delay: Duration,
}

/// The state of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeState {
    /// Ready at least once since its start.
    Up,
    /// Started and not ready yet.
    Starting,
    /// Got SIGTERM at the first time; starts again the second time after its exit.
    Stopping(Duration, Duration),
    /// Starts again at this time.
    Down(Duration),
}

struct Runner {
    fleet: Fleet,
    proxies: Vec<FaultyProxy>,
    store_mode: KvMode,
    states: Vec<NodeState>,
    /// Number of runs that each server has reported.
    runs_seen: Vec<usize>,
    shared: Arc<Shared>,
    replacements: usize,
}

/// Runs `plan` until its end or until a promise is broken.
pub async fn run_plan(plan: &Plan) -> Result<SoakReport> {
    let mut runner = Runner::start().await?;
    let host_delay = Arc::new(AtomicU64::new(0));
    let watchdog = tokio::spawn(watch_host(Arc::clone(&host_delay)));
    let callers = runner.start_callers(plan.seed);
    let mut steps = plan.steps.iter();
    let mut next = steps.next();
    while runner.shared.now() < plan.length && !runner.has_findings() {
        while let Some(step) = next.filter(|step| step.at <= runner.shared.now()) {
            runner.apply(&step.action).await.wrap_err_with(|| format!("{step:?}"))?;
            next = steps.next();
        }
        runner.tick(&host_delay).await?;
    }
    runner.recover(callers, &host_delay).await?;
    watchdog.abort();
    runner.report()
}

/// Records the longest delay of a task that only sleeps.
async fn watch_host(longest_us: Arc<AtomicU64>) {
    loop {
        let started = tokio::time::Instant::now();
        tokio::time::sleep(TICK).await;
        let delay = started.elapsed().saturating_sub(2 * TICK);
        longest_us.fetch_max(delay.as_micros() as u64, Ordering::Relaxed);
    }
}

impl Runner {
    /// Starts a fleet with the first configuration in force at all nodes.
    async fn start() -> Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = KvServer::start(any).await?;
        let mut proxies = Vec::new();
        for _ in 0..NODES {
            proxies.push(FaultyProxy::start(any, store.address()).await?);
        }
        let address = |node: usize| proxies[node].address();
        let fleet = Fleet::start_behind(store, address, &DATA_CENTRES, &SERVICES, GRACE).await?;
        let mut checker = Checker::default();
        fleet.write_config(&checker.timeline.configs.begin(Duration::ZERO));
        for node in 0..NODES {
            fleet.wait_until_ready(node).await?;
        }
        fleet.wait_until_joined().await?;
        let addresses = (0..NODES).map(|node| fleet.address(node, "callers").ok()).collect();
        Ok(Self {
            fleet,
            proxies,
            store_mode: KvMode::Up,
            states: vec![NodeState::Up; NODES],
            runs_seen: vec![0; NODES],
            shared: Arc::new(Shared::new(checker, addresses)),
            replacements: 0,
        })
    }

    fn start_callers(&self, seed: u64) -> Vec<JoinHandle<()>> {
        let caller = |number: usize| Caller {
            number,
            node: number % NODES,
            rng: SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(number as u64)),
            shared: Arc::clone(&self.shared),
        };
        (0..CALLERS_PER_NODE * NODES).map(|number| tokio::spawn(caller(number).run())).collect()
    }

    fn has_findings(&self) -> bool {
        !self.shared.checker().findings().is_empty()
    }

    async fn apply(&mut self, action: &Action) -> Result<()> {
        let now = self.shared.now();
        match *action {
            Action::Configure { withdrawn, added } => {
                let document = self.shared.checker().timeline.configs.change(now, withdrawn, added);
                self.fleet.write_config(&document);
            }
            Action::Stop(node, down) => self.stop(node, down)?,
            Action::Kill(node, down) => self.kill(node, down)?,
            Action::Pause(node) if !self.is_down(node) => {
                self.fleet.suspend(node)?;
                self.shared.checker().timeline.nodes[node].pauses.begin(now);
            }
            Action::Resume(node) if !self.is_down(node) => self.resume(node)?,
            Action::Reload(node) if self.states[node] == NodeState::Up => {
                self.fleet.request_reload(node)?;
            }
            Action::Pause(_) | Action::Resume(_) | Action::Reload(_) => {}
            Action::SetLink(node, mode) => self.proxies[node].set_mode(mode),
            Action::SetStore(mode) => {
                self.store_mode = mode;
                self.fleet.store.set_mode(mode);
            }
            Action::SetServer(node, fault, run_time) => self.set_server(node, fault, run_time),
            Action::Depart(node) => self.depart(node),
            Action::Replace(node) => {
                self.replacements += 1;
                let id = format!("i-{}-{}", self.fleet.nodes[node].name, self.replacements);
                self.fleet.nodes[node].replace_worker(&id);
            }
        }
        Ok(())
    }

    fn is_down(&self, node: usize) -> bool {
        matches!(self.states[node], NodeState::Down(_))
    }

    fn stop(&mut self, node: usize, down: Duration) -> Result<()> {
        if self.states[node] != NodeState::Up {
            return Ok(());
        }
        let now = self.shared.now();
        // A process that stands still takes the signal once it is resumed.
        self.shared.checker().timeline.nodes[node].stops.begin(now);
        self.fleet.request_stop(node)?;
        self.states[node] = NodeState::Stopping(now, down);
        Ok(())
    }

    fn kill(&mut self, node: usize, down: Duration) -> Result<()> {
        if self.is_down(node) {
            return Ok(());
        }
        self.shared.checker().timeline.nodes[node].crashes.begin(self.shared.now());
        self.fleet.kill(node)?;
        self.set_down(node, down);
        Ok(())
    }

    fn set_down(&mut self, node: usize, down: Duration) {
        let now = self.shared.now();
        let mut checker = self.shared.checker();
        checker.timeline.nodes[node].stops.end(now);
        checker.timeline.nodes[node].pauses.end(now);
        drop(checker);
        self.shared.set_address(node, None);
        self.states[node] = NodeState::Down(now + down);
    }

    fn resume(&mut self, node: usize) -> Result<()> {
        self.fleet.resume(node)?;
        self.shared.checker().timeline.nodes[node].pauses.end(self.shared.now());
        Ok(())
    }

    fn set_server(&self, node: usize, fault: WorkerFault, run_time: Duration) {
        let now = self.shared.now();
        let mut checker = self.shared.checker();
        let faults = &mut checker.timeline.nodes[node].server_faults;
        match fault {
            // These answer or refuse each call, so they explain no failure.
            WorkerFault::None | WorkerFault::Sheds | WorkerFault::ClaimsFailure => faults.end(now),
            WorkerFault::LosesAnswers | WorkerFault::WrongId | WorkerFault::Stalls => {
                faults.begin(now);
            }
        }
        drop(checker);
        self.fleet.nodes[node].worker.set_fault(fault);
        self.fleet.nodes[node].worker.set_run_time(run_time);
    }

    /// Lets the server beside a node drain and leave.
    fn depart(&mut self, node: usize) {
        let node = &mut self.fleet.nodes[node];
        node.stop_announcing();
        let (worker, address) = (node.worker.clone(), node.announcements());
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let id = worker.id();
            let drained =
                tokio::time::timeout(NOTICE_TIMEOUT / 2, worker.announce(address, "draining"));
            if !matches!(drained.await, Ok(Ok(()))) || worker.id() != id {
                return;
            }
            let now = shared.now();
            shared.checker().timeline.departures.insert(id, now);
            // The node may be down by now; it knows of the departure already.
            let _unheard = tokio::time::timeout(NOTICE_TIMEOUT / 2, worker.leave(address)).await;
        });
    }

    /// Looks after the processes and feeds the checker.
    async fn tick(&mut self, host_delay: &AtomicU64) -> Result<()> {
        tokio::time::sleep(TICK).await;
        for node in 0..NODES {
            self.follow(node).await.wrap_err_with(|| format!("node {node}"))?;
        }
        let now = self.shared.now();
        let has_store = (0..NODES).any(|node| self.reaches_store(node));
        let runs = self.new_runs();
        let mut checker = self.shared.checker();
        checker.timeline.host_delay = Duration::from_micros(host_delay.load(Ordering::Relaxed));
        match has_store {
            true => checker.timeline.without_store.end(now),
            false => checker.timeline.without_store.begin(now),
        }
        runs.into_iter().for_each(|run| checker.ran(run));
        checker.check(now);
        Ok(())
    }

    fn reaches_store(&self, node: usize) -> bool {
        let is_paused = self.shared.checker().timeline.nodes[node].pauses.is_open();
        self.states[node] == NodeState::Up
            && !is_paused
            && self.store_mode == KvMode::Up
            && self.proxies[node].mode().answers()
    }

    /// Follows the life of a node's process.
    async fn follow(&mut self, node: usize) -> Result<()> {
        let now = self.shared.now();
        match self.states[node] {
            NodeState::Up => {
                let exited = self.fleet.try_exit(node)?;
                ensure!(exited.is_none(), "the process ended by itself: {exited:?}");
            }
            NodeState::Stopping(since, down) => match self.fleet.try_exit(node)? {
                Some(status) => {
                    ensure!(status.success(), "a planned stop ended with {status}");
                    self.set_down(node, down);
                }
                None => {
                    let timeline = &self.shared.checker().timeline;
                    let begin = timeline.nodes[node].pauses.last_end(now).unwrap_or(since);
                    let limit = begin.max(since) + GRACE + timeline.host_delay;
                    ensure!(now < limit, "a planned stop takes longer than its grace");
                }
            },
            NodeState::Down(until) if until <= now => {
                self.fleet.restart(node).await?;
                self.shared.set_address(node, Some(self.fleet.address(node, "callers")?));
                self.states[node] = NodeState::Starting;
            }
            NodeState::Starting if self.is_ready(node).await? => {
                self.shared.checker().timeline.nodes[node].crashes.end(now);
                self.states[node] = NodeState::Up;
            }
            NodeState::Down(_) | NodeState::Starting => {}
        }
        Ok(())
    }

    async fn is_ready(&self, node: usize) -> Result<bool> {
        let client = HttpClient::new(self.fleet.address(node, "ready")?);
        let reply = client.with_timeout(READY_TIMEOUT).get("/almondsail/readyz").await;
        Ok(reply.is_ok_and(|reply| reply.status == 200))
    }

    /// Returns the runs that the servers have begun since the last call.
    fn new_runs(&mut self) -> Vec<Run> {
        let started = self.shared.started.into_std();
        let mut runs = Vec::new();
        for (node, seen) in self.fleet.nodes.iter().zip(&mut self.runs_seen) {
            let executed = node.worker.executed_since(*seen);
            *seen += executed.len();
            runs.extend(executed.into_iter().map(|request| Run {
                at: request.arrived.saturating_duration_since(started),
                call: request.id,
                server: request.server,
                team: request.team,
                has_credential: request.has_credential,
            }));
        }
        runs
    }

    /// Ends all faults, and waits until all nodes are ready and all calls have ended.
    async fn recover(
        &mut self,
        callers: Vec<JoinHandle<()>>,
        host_delay: &AtomicU64,
    ) -> Result<()> {
        for node in 0..NODES {
            self.apply(&Action::SetLink(node, LinkMode::Open)).await?;
            self.apply(&Action::Resume(node)).await?;
        }
        self.apply(&Action::SetStore(KvMode::Up)).await?;
        let until = self.shared.now() + RECOVERY;
        while !self.states.iter().all(|state| *state == NodeState::Up) {
            self.tick(host_delay).await?;
            ensure!(self.shared.now() < until, "not all nodes are ready: {:?}", self.states);
        }
        self.shared.has_ended.store(true, Ordering::Relaxed);
        while !callers.iter().all(JoinHandle::is_finished) {
            self.tick(host_delay).await?;
            ensure!(self.shared.now() < until + RECOVERY, "not all calls have ended");
        }
        for run in self.new_runs() {
            self.shared.checker().ran(run);
        }
        self.shared.checker().check(Duration::MAX);
        Ok(())
    }

    fn report(&self) -> Result<SoakReport> {
        let checker = self.shared.checker();
        let mut findings = Vec::new();
        for finding in checker.findings() {
            let mut text = finding.to_string();
            for node in 0..NODES {
                let log = self.fleet.log(node)?;
                let id = format!("\"{}\"", finding.call.id);
                let lines = log.lines().filter(|line| line.contains(&id)).take(MAX_LOG_LINES);
                text.extend(lines.flat_map(|line| ["\n    ", line]));
            }
            findings.push(text);
        }
        if checker.stray_runs() > 0 {
            findings.push(format!("{} runs of calls that nobody sent", checker.stray_runs()));
        }
        Ok(SoakReport {
            findings,
            statuses: checker.statuses(),
            configs: checker.timeline.configs.latest(),
            host_delay: checker.timeline.host_delay,
        })
    }
}
