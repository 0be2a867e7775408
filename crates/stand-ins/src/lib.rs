//! Test doubles of the platform, of a model engine and of a plain service, for tests and the demo.
//!
//! Each is an HTTP server on loopback, started in-process with `start` or as the binary `stand-in`.
//! `start` must be called inside an `actix_rt` system.

mod engine;
pub mod http;
mod lag;
mod plain;
mod platform;
mod rate;

pub use crate::{
    engine::{Engine, EngineOptions, token_text},
    http::CrashAction,
    plain::{PlainOptions, PlainService, plain_body},
    platform::{LaunchKind, Platform, PlatformOptions},
};
