//! Load benchmark of forwarded calls, within one process and over loopback.
//!
//! Prints the latency that two nodes add to a call, the processor time of a call, and
//! the goodput by priority under overload. It asserts nothing about time.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use almondsail_core::units::Millis;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use support::caller::request;
use support::fake_backend::{FakeBackend, FakeReply};
use support::mesh::{MeshPlan, TestMesh};

/// The number of threads of the runtime that callers, nodes and backend servers share.
const THREADS: usize = 4;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        println!("{THREADS} threads for callers, nodes and backend servers; load of the machine:");
        println!("  {}", std::fs::read_to_string("/proc/loadavg").unwrap_or_default().trim());
        added_time().await;
        processor_time().await;
        for factor in [1, 2, 4] {
            overload(factor).await;
        }
    });
}

/// A caller with one HTTP connection, reopened when it closes.
struct Caller {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    async fn connect(addr: SocketAddr) -> Self {
        let stream = tokio::net::TcpStream::connect(addr).await.expect("a connection");
        stream.set_nodelay(true).expect("a socket option");
        let (sender, conn) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
        tokio::spawn(conn);
        Self { addr, sender }
    }

    /// Sends a GET request and returns whether a complete answer with status 200 arrived.
    async fn call(&mut self, path: &str) -> bool {
        if self.sender.ready().await.is_err() {
            *self = Self::connect(self.addr).await;
        }
        let Ok(response) = self.sender.send_request(request("GET", path, &[], b"")).await else {
            return false;
        };
        let is_ok = response.status() == 200;
        response.into_body().collect().await.is_ok() && is_ok
    }
}

async fn fast_backend() -> FakeBackend {
    FakeBackend::start(|_| FakeReply::ok(&[b'a'; 512])).await
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

/// Measures latency by alternating calls to a backend server directly and through two nodes.
async fn added_time() {
    const CALLERS: usize = 2;
    const CALLS: usize = 10_000;
    const PAUSE: Duration = Duration::from_micros(500);
    let backend = fast_backend().await;
    let mesh = TestMesh::start(&MeshPlan::new(&[None, Some(backend.addr)])).await;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let (direct, entry) = (backend.addr, mesh.entry(0));
        tasks.spawn(async move {
            let mut callers = [Caller::connect(direct).await, Caller::connect(entry).await];
            let mut times = [histogram(), histogram()];
            for i in 0..CALLS {
                for (caller, times) in callers.iter_mut().zip(&mut times) {
                    let started = Instant::now();
                    let is_ok = caller.call("/read").await;
                    // The first 5 % of the calls are excluded, since they open connections.
                    if is_ok && i > CALLS / 20 {
                        let _ = times.record(started.elapsed().as_micros() as u64);
                    }
                }
                tokio::time::sleep(PAUSE).await;
            }
            times
        });
    }
    let mut sum = [histogram(), histogram()];
    while let Some(Ok(times)) = tasks.join_next().await {
        for (sum, times) in sum.iter_mut().zip(&times) {
            let _ = sum.add(times);
        }
    }
    println!("added time, {CALLERS} callers, {} calls each way:", sum[0].len());
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        let [direct, mesh] = [0, 1].map(|i| sum[i].value_at_quantile(quantile));
        println!(
            "  p{:<5} direct {direct:>6} us  two nodes {mesh:>6} us  added {:>6} us",
            quantile * 100.0,
            mesh as i64 - direct as i64
        );
    }
}

/// Measures processor time of calls without pauses, directly and through two nodes.
async fn processor_time() {
    const CALLERS: usize = 16;
    const CALLS: usize = 3_000;
    let backend = fast_backend().await;
    let plan = MeshPlan { slots: 64, ..MeshPlan::new(&[None, Some(backend.addr)]) };
    let mesh = TestMesh::start(&plan).await;
    let mut costs = [0.0; 2];
    println!("processor time, {CALLERS} callers without pause, {} calls:", CALLERS * CALLS);
    for (i, addr) in [backend.addr, mesh.entry(0)].into_iter().enumerate() {
        let (started, used) = (Instant::now(), processor_seconds());
        let mut tasks = tokio::task::JoinSet::new();
        for _ in 0..CALLERS {
            tasks.spawn(async move {
                let mut caller = Caller::connect(addr).await;
                let mut whole = 0;
                for _ in 0..CALLS {
                    whole += usize::from(caller.call("/read").await);
                }
                whole
            });
        }
        let mut whole = 0;
        while let Some(Ok(n)) = tasks.join_next().await {
            whole += n;
        }
        let (wall, used) = (started.elapsed().as_secs_f64(), processor_seconds() - used);
        costs[i] = used / whole as f64 * 1e6;
        println!(
            "  {}: {whole} whole answers, {:.0} calls/s, {:.1} us of processor time a call",
            ["direct", "two nodes"][i],
            whole as f64 / wall,
            costs[i]
        );
    }
    let nodes = costs[1] - costs[0];
    println!("  both nodes: {nodes:.1} us a call, {:.0} calls/s a core", 1e6 / nodes);
}

/// Returns the processor time that this process has used, in seconds.
fn processor_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Measures goodput at `factor` times the backend servers' capacity, with every other call in the
/// background.
async fn overload(factor: u32) {
    const SLOTS: u16 = 8;
    const SERVICE: Duration = Duration::from_millis(20);
    const BACKENDS: usize = 2;
    const SPAN: Duration = Duration::from_secs(4);
    let capacity = BACKENDS as f64 * f64::from(SLOTS) / SERVICE.as_secs_f64();
    let mut backends = Vec::new();
    for _ in 0..BACKENDS {
        backends.push(FakeBackend::start(|_| FakeReply::ok(b"a").after(20)).await);
    }
    let addrs = [None, None, Some(backends[0].addr), Some(backends[1].addr)];
    let deadline = Millis::new(200);
    let plan = MeshPlan { slots: SLOTS, deadline, ..MeshPlan::new(&addrs) };
    let mesh = TestMesh::start(&plan).await;
    let idle: [Arc<Mutex<Vec<Caller>>>; 2] = Default::default();
    let mut tasks = tokio::task::JoinSet::new();
    let gap = Duration::from_secs_f64(1.0 / (capacity * f64::from(factor)));
    let started = Instant::now();
    let mut offered = [0_u32; 2];
    for i in 0.. {
        let at = started + gap * i;
        if at > started + SPAN {
            break;
        }
        tokio::time::sleep_until(at.into()).await;
        let (entry, is_background) = ((i / 2 % 2) as usize, i % 2 == 1);
        offered[usize::from(is_background)] += 1;
        let (idle, addr) = (Arc::clone(&idle[entry]), mesh.entry(entry));
        tasks.spawn(async move {
            let taken = idle.lock().expect("no panic").pop();
            let mut caller = match taken {
                Some(caller) => caller,
                None => Caller::connect(addr).await,
            };
            let path = if is_background { "/report" } else { "/read" };
            let started = Instant::now();
            let is_ok = caller.call(path).await;
            let time = started.elapsed();
            idle.lock().expect("no panic").push(caller);
            (is_background, is_ok, time)
        });
    }
    let mut good = [0_u32; 2];
    let mut times = histogram();
    while let Some(Ok((is_background, is_ok, time))) = tasks.join_next().await {
        if is_ok {
            good[usize::from(is_background)] += 1;
            let _ = times.record(time.as_micros() as u64);
        }
    }
    let arrived: u64 = mesh.nodes.iter().map(|node| node.traffic.admission_counts().arrived).sum();
    let most = backends.iter().map(|b| b.stats.most_running.load(Ordering::SeqCst)).max();
    let share = |i: usize| 100.0 * f64::from(good[i]) / f64::from(offered[i]);
    println!("{factor} times the capacity of {capacity:.0} calls/s, deadline 200 ms:");
    println!(
        "  goodput {:.0} calls/s; answered: interactive {:.1}%, background {:.1}%",
        f64::from(good[0] + good[1]) / SPAN.as_secs_f64(),
        share(0),
        share(1)
    );
    println!(
        "  attempts a call {:.3}; time of answers p50 {} us, p99 {} us; most calls at once {}",
        arrived as f64 / f64::from(offered[0] + offered[1]),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        most.unwrap_or(0)
    );
}
