//! Appends to and follows streams of the platform's log.
//!
//! Both machines are pure: the driver performs the requests and passes in answers and the time.

mod follower;
mod writer;

pub use crate::{
    follower::{FetchedRecord, FollowerAction, FollowerSettings, LogFollower, LogPage},
    writer::{BatchRecord, BatchTicket, BufferFull, LogWriter, WriterAction, WriterSettings},
};
