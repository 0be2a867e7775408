//! Serving of callers and trainers on the traffic threads.

mod admitted;
pub(crate) mod answer;
mod caller;
mod choice;
mod plain;
pub(crate) mod request;
mod server;
mod stream;
mod trainer;
mod worker;

pub(crate) use self::server::start;
