//! Case 1: the store gives no response for some seconds, right after a change of the configuration.
//! A later change, made in a quiet time, is not in force in time.

#[path = "../standins/standins.rs"]
mod standins;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use standins::{Deployment, Machine, Recorder, WorkerOptions, config, lock, pause, route};

const HOST: &str = "depot.example";
/// `config_apply_ms` and `contact_ms` of the site, in seconds.
const CONFIG_APPLY: f64 = 2.0;
const CONTACT: f64 = 3.0;
/// The length of `platform_down` in the site file's list of disruptions.
const SILENCE: f64 = 4.5;
/// How long after the first change the store falls silent.
const SILENCE_DELAY: f64 = 0.1;
/// How long after the end of the silence the second change is made.
const CHANGE_DELAY: f64 = 4.0;
/// For how long requests are sent after the second change.
const WATCHED: f64 = 16.0;

/// A request to a route that the change added or removed.
struct Look {
    at: f64,
    machine: usize,
    path: &'static str,
    status: u16,
    answer: String,
}

fn main() {
    let record = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let recorder = Recorder::create(&record);
    let code = run(&recorder, has_trouble);
    recorder.say(&format!("exit {code}"));
    std::process::exit(code);
}

fn run(recorder: &Recorder, has_trouble: bool) -> i32 {
    let deployment = Deployment::start(recorder);
    let services = ["bays", "traslados"];
    let first = [
        route("r-bays", "/bays/", "safe", "bays"),
        route("r-traslados", "/traslados/", "safe", "traslados"),
        route("r-old", "/old/", "safe", "bays"),
    ];
    deployment.store.operator_put("op/config", &config(1, &services, &first));
    for zone in ["cerro-baron", "placeres", "almendral"] {
        deployment.add(zone, worker("bays"));
        deployment.add(zone, worker("traslados"));
    }
    let paths = ["/bays/x", "/traslados/x", "/old/x"];
    if !deployment.wait_until_served(HOST, &paths) {
        recorder.say("the deployment did not come up");
        return 2;
    }
    recorder.say("all machines are ready and serve all routes");
    pause(4.0);
    let looks = Arc::new(Mutex::new(Vec::new()));
    let has_ended = Arc::new(AtomicBool::new(false));
    let machines = lock(&deployment.machines).clone();
    let clients: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (machine, recorder) = (Arc::clone(machine), recorder.clone());
            let (looks, has_ended) = (Arc::clone(&looks), Arc::clone(&has_ended));
            thread::spawn(move || send_looks(&machine, &recorder, &looks, &has_ended))
        })
        .collect();
    // The first change, in force everywhere at once.
    let with_more = [first.to_vec(), vec![route("r-more", "/more/", "safe", "bays")]].concat();
    deployment.store.operator_put("op/config", &config(3, &services, &with_more));
    pause(SILENCE_DELAY);
    if has_trouble {
        recorder.say("the store gives no response to any machine");
        deployment.store.set_silent(&[1, 2, 3, 4, 5, 6]);
    }
    pause(SILENCE);
    let silence_ended = recorder.now();
    if has_trouble {
        deployment.store.set_silent(&[]);
        recorder.say("the store responds again");
    }
    pause(CHANGE_DELAY);
    // The second change drops /old/ and adds /new/.
    let second = [first[..2].to_vec(), vec![route("r-new", "/new/", "safe", "traslados")]].concat();
    let acknowledged = deployment.store.operator_put("op/config", &config(7, &services, &second));
    pause(WATCHED);
    has_ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // The core is stable and all machines are in touch since then.
    let in_touch = silence_ended + CONTACT;
    judge(recorder, &lock(&looks), (acknowledged + CONFIG_APPLY).max(in_touch))
}

fn worker(service: &str) -> WorkerOptions {
    let (service, version) = (service.to_owned(), "v1".to_owned());
    WorkerOptions { service, version, run_ms: 20, fails_one_in: 0, fails_from: 0 }
}

/// Sends a request to each route by turns, as long as the platform counts the node as ready.
fn send_looks(machine: &Machine, recorder: &Recorder, looks: &Mutex<Vec<Look>>, end: &AtomicBool) {
    let paths = ["/new/x", "/old/x", "/bays/x", "/traslados/x"];
    for n in 0.. {
        if end.load(Ordering::Relaxed) {
            return;
        }
        if machine.is_ready() {
            let path = paths[n % paths.len()];
            let (at, id) = (recorder.now(), format!("{:04x}{n:012x}", machine.number));
            let (status, answer) = machine.send(HOST, "GET", path, &id, 2_000);
            recorder.line(&format!("sent {at:.3} {id} {path} to {}: {status} {answer}", machine.name));
            lock(looks).push(Look { at, machine: machine.number, path, status, answer });
        }
        pause(0.05);
    }
}

/// Returns whether the answer is one that only the older configuration allows.
fn is_stale(look: &Look) -> bool {
    match look.path {
        "/new/x" => look.status == 404,
        "/old/x" => look.status == 200 && look.answer.starts_with("signed: "),
        _ => false,
    }
}

fn judge(recorder: &Recorder, looks: &[Look], due: f64) -> i32 {
    let others = looks.iter().filter(|look| look.path == "/bays/x" && look.at >= due);
    let (all, served) = others.fold((0, 0), |(all, served), look| {
        (all + 1, served + usize::from(look.status == 200))
    });
    recorder.say(&format!("other requests sent after {due:.3}: {served} of {all} served"));
    if all < 50 || served * 10 < all * 9 {
        recorder.say("the machines do not serve");
        return 2;
    }
    let stale: Vec<&Look> = looks.iter().filter(|look| look.at > due && is_stale(look)).collect();
    let count = |path| stale.iter().filter(|look| look.path == path).count();
    let (refused, dropped) = (count("/new/x"), count("/old/x"));
    let last = stale.iter().map(|look| look.at).fold(0.0, f64::max);
    let mut machines: Vec<usize> = stale.iter().map(|look| look.machine).collect();
    machines.sort_unstable();
    machines.dedup();
    recorder.say(&format!(
        "sent later than config_apply_ms after the acknowledgement ({due:.3}): {refused} refused \
         with 404 though the route is there, {dropped} run with a dropped route, by machines \
         {machines:?}, the last sent at {last:.3}"
    ));
    recorder.say(&format!("CONFIG {}", if stale.is_empty() { "holds" } else { "is broken" }));
    i32::from(!stale.is_empty())
}
