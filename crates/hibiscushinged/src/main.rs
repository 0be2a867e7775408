//! The daemon's executable: reads the settings, sets up logging and handles signals.

mod flags;

use std::{fmt, path::Path, process::ExitCode};

use document::{DaemonSettings, DocumentProblem, GatewaySettings};
use error_stack::{Report, ResultExt as _};
use hibiscushinged::{Daemon, Gateway};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::flags::Hibiscushinged;

/// Bound on the log lines that wait for the writer thread. Further lines are dropped and counted,
/// so that a slow reader of standard output never blocks a request.
const MAX_BUFFERED_LOG_LINES: usize = 16_384;

/// The daemon could not start; the text says which part of the start failed.
#[derive(Debug)]
struct StartFailed(String);

impl fmt::Display for StartFailed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StartFailed {}

fn main() -> ExitCode {
    let flags = Hibiscushinged::from_env_or_exit();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &Hibiscushinged) -> Result<(), Report<StartFailed>> {
    match (&flags.settings, &flags.gateway) {
        (Some(file), None) => run_daemon(file, flags.check),
        (None, Some(file)) => run_gateway(file, flags.check),
        _ => Err(Report::new(StartFailed(String::from(
            "exactly one of the options --settings and --gateway must be given",
        )))),
    }
}

fn run_daemon(file: &Path, check: bool) -> Result<(), Report<StartFailed>> {
    let settings = read_settings(file, DaemonSettings::parse)?;
    if check {
        println!("{}: settings are valid", file.display());
        return Ok(());
    }
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(log_filter())
        .with_writer(std::io::stderr)
        .init();
    actix_rt::System::new().block_on(serve(settings))
}

fn run_gateway(file: &Path, check: bool) -> Result<(), Report<StartFailed>> {
    let settings = read_settings(file, GatewaySettings::parse)?;
    if check {
        println!("{}: settings are valid", file.display());
        return Ok(());
    }
    let (writer, _guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LOG_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    tracing_subscriber::fmt().json().with_env_filter(log_filter()).with_writer(writer).init();
    actix_rt::System::new().block_on(serve_gateway(file, settings))
}

/// Returns the filter of the environment variable `RUST_LOG`, or level `info` without a valid one.
fn log_filter() -> EnvFilter {
    EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Reads and parses a settings file. The error lists all problems, one a line.
fn read_settings<T>(
    file: &Path,
    parse: impl FnOnce(&str, &str) -> Result<T, Vec<DocumentProblem>>,
) -> Result<T, Report<StartFailed>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).change_context_lazy(|| {
        StartFailed(format!("could not read the settings file \"{name}\""))
    })?;
    parse(&name, &text).map_err(|problems| {
        let lines = problems.iter().map(ToString::to_string).collect::<Vec<_>>();
        Report::new(StartFailed(lines.join("\n")))
    })
}

/// Runs a daemon until SIGTERM or SIGINT, then drains it. Prints its addresses on one line, which
/// tests read to learn the ports.
async fn serve(settings: DaemonSettings) -> Result<(), Report<StartFailed>> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).change_context_lazy(start_failed)?;
    let addresses = daemon.addresses();
    println!("listening {} {} {}", addresses.listen, addresses.peer, addresses.admin);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.drain().await;
    Ok(())
}

/// Runs a gateway until SIGTERM or SIGINT, then drains it. On SIGHUP it reads the settings file
/// again and logs whether it changed; the running gateway keeps its settings.
async fn serve_gateway(file: &Path, settings: GatewaySettings) -> Result<(), Report<StartFailed>> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    let mut hangup = signal_stream(SignalKind::hangup())?;
    let running_settings = settings.clone();
    let gateway = Gateway::start(settings).await.change_context_lazy(start_failed)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {
                let reloaded = read_settings(file, GatewaySettings::parse);
                gateway.reload(&running_settings, reloaded.map_err(|report| report.to_string()));
            }
        }
    }
    gateway.drain().await;
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<Signal, Report<StartFailed>> {
    signal(kind).change_context_lazy(start_failed)
}

fn start_failed() -> StartFailed {
    StartFailed(String::from("could not start the daemon"))
}
