//! The almondsail process beside each backend server.

fn main() {}
