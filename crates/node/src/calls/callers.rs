//! The HTTP server for callers.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use gotham::service::call_handler;
use gotham::state::State;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::calls::call_handler::CallHandler;
use crate::calls::server::serve;
use crate::calls::traffic::Traffic;

/// Accepts calls on `listener` until `stop` becomes true, then waits for those in flight.
pub async fn serve_callers(listener: TcpListener, traffic: Traffic, stop: watch::Receiver<bool>) {
    let handler = CallHandler::new(Arc::clone(&traffic.inner));
    serve(listener, &traffic.inner, stop, move |request, peer| {
        let state = State::from_request(request, peer);
        call_handler(handler.clone(), AssertUnwindSafe(state))
    })
    .await;
}
