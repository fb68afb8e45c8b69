//! Stand-ins of the platform's store, of workers, of clients and of the operator, in one process.
//!
//! They follow the platform's pages (PROTOCOL.md) and use the standard library only. Each machine
//! has a loopback address of its own. The store listens at one address for each machine, as that
//! machine's way to the store.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Writes the record of a run; times count in seconds from its start.
#[derive(Clone)]
pub struct Recorder(Arc<(Instant, Mutex<File>)>);

impl Recorder {
    pub fn create(path: &str) -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("a record file")))))
    }

    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.0.1), "{:8.3} {text}", self.now());
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Debug, Clone)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Self {
        Self::value(&mut text.trim().chars().peekable())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(rows) => rows.iter().find(|(n, _)| n == name).map_or(&Self::Other, |r| &r.1),
            _ => &Self::Other,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(n) = self { *n as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(list) = self { list } else { &[] }
    }

    fn value(chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Self {
        let skip = |chars: &mut std::iter::Peekable<std::str::Chars<'_>>| {
            while chars.peek().is_some_and(|c| c.is_whitespace() || matches!(c, ',' | ':')) {
                chars.next();
            }
        };
        skip(chars);
        match chars.next() {
            Some('{') => {
                let mut rows = Vec::new();
                loop {
                    skip(chars);
                    if matches!(chars.peek(), Some('}') | None) {
                        chars.next();
                        return Self::Table(rows);
                    }
                    let name = Self::value(chars).text().to_owned();
                    rows.push((name, Self::value(chars)));
                }
            }
            Some('[') => {
                let mut list = Vec::new();
                loop {
                    skip(chars);
                    if matches!(chars.peek(), Some(']') | None) {
                        chars.next();
                        return Self::List(list);
                    }
                    list.push(Self::value(chars));
                }
            }
            Some('"') => {
                let mut text = String::new();
                while let Some(c) = chars.next() {
                    match c {
                        '"' => break,
                        '\\' => text.extend(chars.next()),
                        c => text.push(c),
                    }
                }
                Self::Text(text)
            }
            Some(c) => {
                let mut word = String::from(c);
                while chars.peek().is_some_and(|c| !matches!(c, ',' | '}' | ']') && !c.is_whitespace())
                {
                    word.extend(chars.next());
                }
                word.parse().map_or(Self::Other, Self::Number)
            }
            None => Self::Other,
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = BASE64[(n >> (18 - 6 * i) & 63) as usize] as char;
            text.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let (mut bytes, mut n, mut bits) = (Vec::new(), 0u32, 0);
    for c in text.bytes() {
        let Some(digit) = BASE64.iter().position(|b| *b == c) else { break };
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((n >> bits) as u8);
            n &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Reads a message with a body of known length.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let first = line.trim_end().to_owned();
        let mut headers = Vec::new();
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { first, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|row| row.strip_prefix(name)?.strip_prefix('='));
        value.unwrap_or_default().replace("%2F", "/").replace("%2f", "/")
    }
}

fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection; `None` if it gets no whole answer in time.
pub fn exchange(to: SocketAddr, head: &str, body: &str, limit: f64) -> Option<Message> {
    let limit = Duration::from_secs_f64(limit);
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let _ = stream.set_nodelay(true);
    let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

fn listen(ip: &str, serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (u64, Instant)>,
    next_lease: u64,
    /// Machines whose calls get no response.
    silent: HashSet<usize>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    recorder: Recorder,
}

impl Store {
    pub fn start(recorder: &Recorder) -> Self {
        let state = StoreState { revision: 1, next_lease: 1, ..StoreState::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { shared, recorder: recorder.clone() };
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                pause(0.05);
                ticker.edit(StoreState::end_leases);
            }
        });
        store
    }

    fn edit<T>(&self, edit: impl FnOnce(&mut StoreState) -> T) -> T {
        let result = edit(&mut lock(&self.shared.0));
        self.shared.1.notify_all();
        result
    }

    /// Opens the address at which the machine `number` reaches the store.
    pub fn open(&self, number: usize, ip: &str) -> SocketAddr {
        let store = self.clone();
        listen(ip, move |stream| store.serve(number, stream))
    }

    /// The operator writes `key`; returns when the store has acknowledged it.
    pub fn operator_put(&self, key: &str, value: &str) -> f64 {
        self.edit(|state| state.put(key, base64(value.as_bytes()), 0));
        let at = self.recorder.now();
        self.recorder.say(&format!("operator: {key} acknowledged"));
        at
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = lock(&self.shared.0);
        Some(String::from_utf8_lossy(&unbase64(&state.items.get(key)?.value)).into_owned())
    }

    pub fn set_silent(&self, machines: &[usize]) {
        self.edit(|state| state.silent = machines.iter().copied().collect());
    }

    fn is_silent(&self, number: usize) -> bool {
        lock(&self.shared.0).silent.contains(&number)
    }

    fn serve(&self, number: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = Message::read(&mut reader) {
            let response = (!self.is_silent(number)).then(|| self.respond(&request));
            match response.filter(|_| !self.is_silent(number)) {
                Some(bytes) => {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                // "A connection on which a response is lost returns nothing further."
                None => {
                    let text = format!("store: no response to machine {number}: {}", request.first);
                    self.recorder.line(&text);
                    let _ = std::io::copy(&mut reader, &mut std::io::sink());
                    return;
                }
            }
        }
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let path = request.target().split('?').next().unwrap_or_default().to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let (status, text) = match (request.method(), path.trim_start_matches("/almondsail/")) {
            ("GET", "kv-range") => self.edit(|state| (200, state.range(&request.query("prefix")))),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-lease") => self.edit(|state| (200, state.open_lease(body.get("ttl_ms").number()))),
            ("POST", "kv-txn") => self.edit(|state| state.transact(&body)),
            ("POST", keep) if keep.starts_with("kv-keep/") => {
                let lease = keep.trim_start_matches("kv-keep/").parse().unwrap_or(0);
                self.edit(|state| state.keep_lease(lease))
            }
            _ => (400, String::new()),
        };
        answer(status, "content-type: application/json\r\n", text.as_bytes())
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = lock(&self.shared.0);
        loop {
            let events = state.events(&prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), state.revision);
                return (200, text);
            }
            state = match self.shared.1.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn json(key: &str, item: &Item) -> String {
        let Item { value, revision, created, lease } = item;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        )
    }

    fn range(&self, prefix: &str) -> String {
        let items = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(key, item)| Self::json(key, item)).collect();
        format!("{{\"items\":[{}],\"has_more\":false,\"as_of\":{}}}", items.join(","), self.revision)
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let new = self.history.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
        new.map(|(revision, key, item)| match item {
            Some(item) => Self::json(key, item),
            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
        })
        .collect()
    }

    fn open_lease(&mut self, ttl: u64) -> String {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
        format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}")
    }

    fn keep_lease(&mut self, id: u64) -> (u16, String) {
        let Some((ttl, end)) = self.leases.get_mut(&id) else { return (404, "{}".to_owned()) };
        *end = Instant::now() + Duration::from_millis(*ttl);
        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let expect = body.get("expect").list();
        if expect.iter().any(|row| revision(row.get("key").text()) != row.get("revision").number()) {
            let items = expect.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(Self::json(key, self.items.get(key)?))
            });
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        let leases = body.get("puts").list().iter().map(|row| row.get("lease").number());
        if leases.filter(|lease| *lease != 0).any(|lease| !self.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        for row in body.get("puts").list() {
            let value = row.get("value").text().to_owned();
            self.put(row.get("key").text(), value, row.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

// ---------------------------------------------------------------- workers

/// A request that a worker began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub id: String,
    pub path: String,
    pub worker: String,
    pub service: String,
    pub version: String,
    pub failed: bool,
}

pub struct WorkerOptions {
    pub service: String,
    pub version: String,
    pub run_ms: u64,
    /// One in this many requests is answered with 500; 0: none.
    pub fails_one_in: u64,
    /// Only requests fail that find at least this many others running.
    pub fails_from: u64,
}

pub struct Worker {
    pub id: String,
    options: WorkerOptions,
    counter: AtomicU64,
    running: AtomicU64,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    /// The worker has exited: it answers and announces nothing more.
    has_ended: AtomicBool,
    recorder: Recorder,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(request) = Message::read(&mut reader) {
            if self.has_ended.load(Ordering::Relaxed) {
                return;
            }
            let id = request.header("almondsail-attempt-id").unwrap_or_default().to_owned();
            let echo = format!("almondsail-attempt-id: {id}\r\n");
            let bytes = if request.target() == "/healthz" {
                let status = if self.is_draining.load(Ordering::Relaxed) { 503 } else { 200 };
                answer(status, &format!("almondsail-instance-id: {}\r\n", self.id), b"")
            } else if request.header("almondsail-expected-instance").is_some_and(|e| e != self.id) {
                answer(421, &format!("{echo}almondsail-instance-id: {}\r\n", self.id), b"")
            } else {
                self.run(&request, &id, &echo)
            };
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn run(&self, request: &Message, id: &str, echo: &str) -> Vec<u8> {
        let WorkerOptions { fails_one_in, fails_from, .. } = self.options;
        let others = self.running.fetch_add(1, Ordering::Relaxed);
        let failed = fails_one_in > 0
            && others >= fails_from
            && self.counter.fetch_add(1, Ordering::Relaxed) % fails_one_in == 0;
        let run = Run {
            at: self.recorder.now(),
            id: id.to_owned(),
            path: request.target().to_owned(),
            worker: self.id.clone(),
            service: self.options.service.clone(),
            version: self.options.version.clone(),
            failed,
        };
        let Run { path, worker, service, version, .. } = &run;
        self.recorder.line(&format!(
            "run {id} {path} at {worker} {service} {version}{}",
            if failed { " fails" } else { "" }
        ));
        lock(&self.runs).push(run.clone());
        thread::sleep(Duration::from_millis(self.options.run_ms));
        self.running.fetch_sub(1, Ordering::Relaxed);
        let signed = format!("{echo}almondsail-server-signature: {}.{id}\r\n", self.id);
        let status = if failed { 500 } else { 200 };
        answer(status, &signed, format!("{service} {version} {id}").as_bytes())
    }
}

// ---------------------------------------------------------------- machines

/// A machine with a node and a worker.
pub struct Machine {
    pub number: usize,
    pub name: String,
    pub worker: Arc<Worker>,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    control_plane: SocketAddr,
    settings: PathBuf,
    process: Mutex<Option<Child>>,
    is_ready: AtomicBool,
    /// The platform's check ends with the machine.
    is_gone: AtomicBool,
}

/// A deployment in one data centre or several.
pub struct Deployment {
    pub recorder: Recorder,
    pub store: Store,
    pub machines: Mutex<Vec<Arc<Machine>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    folder: PathBuf,
    network: String,
}

const NODE: &str = "target/release/almondsail-node";
const TEMPLATE: &str = "platform/settings.template";

/// Returns the template without its sections, whose values this deployment lacks.
fn without_sections(template: &str) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("the end of a tag");
        let end_tag = format!("{{{{/{}}}}}", &text[start + 3..name_end]);
        let end = text.find(&end_tag).expect("the end of a section") + end_tag.len();
        text.replace_range(start..end, "");
    }
    text
}

/// Returns four different free ports.
fn free_ports(ip: &str) -> [u16; 4] {
    let listeners = [0; 4].map(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address").port())
}

impl Deployment {
    pub fn start(recorder: &Recorder) -> Self {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("almondsail-review-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            recorder: recorder.clone(),
            store: Store::start(recorder),
            machines: Mutex::default(),
            runs: Arc::default(),
            folder,
            network: format!("127.{}.{}", 64 + process % 128, process / 128 % 250),
        }
    }

    pub fn machine(&self, number: usize) -> Arc<Machine> {
        Arc::clone(&lock(&self.machines)[number - 1])
    }

    /// Adds a machine with a worker, and starts both.
    pub fn add(&self, zone: &str, options: WorkerOptions) -> Arc<Machine> {
        let number = lock(&self.machines).len() + 1;
        let ip = format!("{}.{}", self.network, number);
        let name = format!("sidecar-{zone}-{number}");
        let service = options.service.clone();
        let worker = Arc::new(Worker {
            id: format!("i-{number:08x}"),
            options,
            counter: AtomicU64::new(0),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            recorder: self.recorder.clone(),
            runs: Arc::clone(&self.runs),
        });
        let server = Arc::clone(&worker);
        let app_address = listen(&ip, move |stream| server.serve(stream));
        let store = self.store.open(number, &format!("{}.250", self.network));
        let [outbound, ready, control_plane, internal] = free_ports(&ip);
        let text = |text: &str| format!("\"{text}\"");
        let at = |port: u16| format!("\"{ip}:{port}\"");
        let values = [
            ("{{node_name|json}}", text(&name)),
            ("{{zone|json}}", text(zone)),
            ("{{listen.outbound|json}}", at(outbound)),
            ("{{listen.ready|json}}", at(ready)),
            ("{{listen.control_plane|json}}", at(control_plane)),
            ("{{internal_port_range.0}}", internal.to_string()),
            ("{{ip}}", ip.clone()),
            ("{{platform.address|json}}", text(&store.to_string())),
            ("{{app_address|json}}", text(&app_address.to_string())),
            ("{{service|json}}", text(&service)),
            ("{{bounds.grace_s}}", "6.0".to_owned()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_budget_extra}}", "60".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
        ];
        let template = fs::read_to_string(TEMPLATE).expect("the template");
        let mut settings = without_sections(&template);
        for (name, value) in values {
            settings = settings.replace(name, &value);
        }
        let file = self.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("a settings file");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let machine = Arc::new(Machine {
            number,
            name,
            worker,
            outbound: address(outbound),
            ready: address(ready),
            control_plane: address(control_plane),
            settings: file,
            process: Mutex::new(None),
            is_ready: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
        });
        lock(&self.machines).push(Arc::clone(&machine));
        machine.start_node(&self.recorder);
        let (worker, check) = (Arc::clone(&machine), Arc::clone(&machine));
        let zone = zone.to_owned();
        let recorder = self.recorder.clone();
        thread::spawn(move || worker.announce_repeatedly(&zone, &app_address.to_string(), &recorder));
        let recorder = self.recorder.clone();
        thread::spawn(move || check.check_repeatedly(&recorder));
        machine
    }

    /// Waits until all nodes are ready and each gets an answer for each of `paths`.
    pub fn wait_until_served(&self, host: &str, paths: &[&str]) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        for machine in lock(&self.machines).clone() {
            for path in paths {
                while !machine.is_ready.load(Ordering::Relaxed)
                    || machine.send(host, "GET", path, "warm-up", 2_000).0 != 200
                {
                    if Instant::now() > until {
                        return false;
                    }
                    pause(0.1);
                }
            }
        }
        true
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in lock(&self.machines).iter() {
            machine.kill_node();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Machine {
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    pub fn start_node(&self, recorder: &Recorder) {
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(NODE)
            .arg(&self.settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the node starts");
        recorder.line(&format!("{} starts as process {}", self.name, child.id()));
        *lock(&self.process) = Some(child);
    }

    pub fn kill_node(&self) {
        if let Some(mut child) = lock(&self.process).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a request on a new connection to the node. Returns its status (0: no answer) and what
    /// the answer says.
    pub fn send(&self, host: &str, method: &str, path: &str, id: &str, limit_ms: u64) -> (u16, String) {
        let mut head = String::new();
        let _ = write!(head, "{method} {path} HTTP/1.1\r\nhost: {host}\r\n");
        let _ = write!(head, "almondsail-attempt-id: {id}\r\nalmondsail-deadline-ms: {limit_ms}\r\n");
        match exchange(self.outbound, &head, "", limit_ms as f64 / 1_000.0) {
            Some(reply) => {
                let signed = reply.header("almondsail-server-signature").is_some();
                let body = String::from_utf8_lossy(&reply.body).into_owned();
                (reply.status(), if signed { format!("signed: {body}") } else { body })
            }
            None => (0, String::new()),
        }
    }

    /// The platform asks once a second whether the node is ready; two misses take it out.
    fn check_repeatedly(&self, recorder: &Recorder) {
        let mut misses = 0;
        while !self.is_gone.load(Ordering::Relaxed) {
            let head = "GET /almondsail/readyz HTTP/1.1\r\nhost: node\r\nconnection: close\r\n";
            let is_up = exchange(self.ready, head, "", 0.9).is_some_and(|r| r.status() == 200);
            misses = if is_up { 0 } else { misses + 1 };
            let is_ready = is_up || (misses < 2 && self.is_ready());
            if is_ready != self.is_ready.swap(is_ready, Ordering::Relaxed) {
                recorder.line(&format!("{} ready: {is_ready}", self.name));
            }
            pause(if is_ready { 1.0 } else { 0.2 });
        }
    }

    /// Announces the worker as heartbeat_ms says, until it ends.
    fn announce_repeatedly(&self, zone: &str, address: &str, recorder: &Recorder) {
        let worker = &self.worker;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let WorkerOptions { service, version, .. } = &worker.options;
        while !worker.has_ended.load(Ordering::Relaxed) {
            let is_draining = worker.is_draining.load(Ordering::Relaxed);
            let state = if is_draining { "draining" } else { "ready" };
            let sequence = worker.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = format!(
                "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\"version\":\"{version}\",\"zone\":\"{zone}\",\"capacity\":12}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"cold_remaining_ms\":0}}}}"
            );
            let path = format!("/almondsail/instances/{}", worker.id);
            let head =
                |method: &str| format!("{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n");
            let reply = exchange(self.control_plane, &head("PUT"), &body, 1.0);
            let is_acknowledged = reply.is_some_and(|r| (200..300).contains(&r.status()));
            if is_draining && is_acknowledged {
                recorder.line(&format!("{} draining acknowledged", worker.id));
                // It serves for drain_ms and a little longer, then says that it goes.
                pause(2.5);
                let body = format!("{{\"born\":{born}}}");
                exchange(self.control_plane, &head("DELETE"), &body, 1.0);
                worker.has_ended.store(true, Ordering::Relaxed);
                recorder.line(&format!("{} exits", worker.id));
                // Its machine goes with it.
                self.is_gone.store(true, Ordering::Relaxed);
                self.kill_node();
                return;
            }
            for _ in 0..8 {
                if worker.is_draining.load(Ordering::Relaxed) == is_draining {
                    pause(0.1);
                }
            }
        }
    }

    /// Begins the planned shutdown of the worker.
    pub fn drain(&self) {
        self.worker.is_draining.store(true, Ordering::Relaxed);
    }

    /// Returns the node's own count of `metric`, for the record.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

/// A route of the configuration, as JSON.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"type\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\"host\":\"depot.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":1,\"max_attempts\":2,\"service\":\"{service}\"}}}}"
    )
}

/// A configuration, as JSON.
pub fn config(version: u32, services: &[&str], routes: &[String]) -> String {
    let mut resources = routes.to_vec();
    resources.extend(services.iter().map(|service| {
        format!("{{\"type\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\"health_path\":\"/healthz\",\"max_connections\":120}}}}")
    }));
    resources.push("{\"type\":\"limits\",\"metadata\":{\"name\":\"limits\"},\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}".to_owned());
    format!("{{\"version\":\"{version:08x}\",\"resources\":[{}]}}", resources.join(","))
}
