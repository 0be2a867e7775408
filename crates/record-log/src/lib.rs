//! Idempotent appends to streams of the platform's log, and ordered reads from them.
//!
//! [`LogWriter`] and [`LogReader`] are state machines without I/O: their driver sends the requests
//! and passes in the responses and the time.

mod reader;
mod writer;

pub use crate::{
    reader::{DecodedPage, DecodedRecord, LogReader, ReaderAction, ReaderSettings},
    writer::{BatchRecord, BatchTicket, BufferFull, LogWriter, WriterAction, WriterSettings},
};
