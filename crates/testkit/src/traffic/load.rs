//! Generates load in the background.

use eyre::Result;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{CallRequest, CallResults, Caller, LoadOptions};

/// Generates load in the background: in turn idempotent lookups and non-idempotent
/// bookings with unique idempotency keys.
#[derive(Debug)]
pub struct Load {
    workers: JoinSet<CallResults>,
    stop: watch::Sender<bool>,
}

impl Load {
    /// Starts the tasks that send calls.
    pub fn start(caller: &Caller, options: &LoadOptions) -> Self {
        let (stop, _) = watch::channel(false);
        let mut workers = JoinSet::new();
        for number in 0..options.workers {
            let worker = Worker { number, caller: caller.clone(), options: options.clone() };
            workers.spawn(worker.run(stop.subscribe()));
        }
        Self { workers, stop }
    }

    /// Stops sending calls, waits for those in flight and returns the counts.
    pub async fn stop(mut self) -> Result<CallResults> {
        self.stop.send_replace(true);
        let mut total = CallResults::default();
        while let Some(results) = self.workers.join_next().await {
            total.add(results?);
        }
        Ok(total)
    }
}

#[derive(Debug)]
struct Worker {
    number: usize,
    caller: Caller,
    options: LoadOptions,
}

impl Worker {
    async fn run(self, stop: watch::Receiver<bool>) -> CallResults {
        let mut results = CallResults::default();
        for n in 0..self.options.max_calls {
            if *stop.borrow() {
                break;
            }
            let request = self.request(n);
            let (outcome, sent) = self.caller.call(self.number + n as usize, &request).await;
            results.count(&request, &outcome, sent);
            tokio::time::sleep(self.options.pause).await;
        }
        results
    }

    fn request(&self, n: u64) -> CallRequest {
        let services = &self.options.services;
        let service = &services[(self.number + n as usize / 2) % services.len()];
        if n.is_multiple_of(2) {
            CallRequest::lookup(service, n)
        } else {
            CallRequest::booking(service, &format!("worker-{}", self.number), n)
        }
    }
}
