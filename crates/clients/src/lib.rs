//! Interfaces to the platform and to model engines, and the HTTP clients that implement them.
//!
//! Every call has a timeout, and every error tells whether the request may have taken effect, so
//! that a request that is not idempotent is not repeated by mistake.

// The futures need no `Send` bound, because awc's client is confined to one thread.
#![allow(async_fn_in_trait)]

pub mod base16;
mod engine;
mod error;
mod guard;
mod http_client;
mod platform;
mod token_stream;
mod traits;
mod transfer;
mod types;
pub mod wire;

pub use crate::{
    engine::EngineClient,
    error::{CallError, CallFailure},
    guard::SendPermit,
    http_client::{HttpClient, HttpRequest, HttpResponse},
    platform::{PlatformClient, PlatformTimeouts},
    token_stream::TokenStream,
    traits::{
        EngineControl, PlatformLog, TokenSource, UpstreamOrders, UsageSink, VmList, WeightStore,
    },
    transfer::{HTTP_DATE_LEN, TransferCounter, TransferTotals, head_len, header_len},
    types::{
        CustomerUsage, EnginePriority, EngineReport, GenerateRequest, KvCache, LogPage, NewRecord,
        OrderInfo, OrderKind, OrderState, ReclaimNotice, ReportOutcome, StoredRecord, TokenEvent,
        UpstreamInfo, UpstreamOrder, UpstreamState, UsageReport, VmInfo, VmState, WeightFetch,
        WeightLoadOrder,
    },
};
