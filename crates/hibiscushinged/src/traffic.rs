//! Serves callers and trainers on the traffic threads.

mod admitted;
mod caller;
mod choice;
mod plain;
pub(crate) mod request;
pub(crate) mod response;
mod server;
mod stream;
mod trainer;
mod worker;

pub(crate) use self::server::start;
