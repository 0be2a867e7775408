//! Serving of callers and trainers on the traffic threads.

mod answer;
mod caller;
mod choice;
mod plain;
mod request;
mod server;
mod stream;
mod trainer;

pub(crate) use self::server::start;
