//! Appends to and follows streams of the platform's log.
//!
//! Both machines are pure: the driver performs the requests and passes in answers and the time.

mod reader;
mod writer;

pub use crate::{
    reader::{DecodedPage, DecodedRecord, LogReader, ReaderAction, ReaderSettings},
    writer::{BatchRecord, BatchTicket, BufferFull, LogWriter, WriterAction, WriterSettings},
};
