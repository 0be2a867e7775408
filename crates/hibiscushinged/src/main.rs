//! The daemon's process: settings, logs and signals.

mod flags;

use std::{fmt, process::ExitCode};

use document::DaemonSettings;
use error_stack::{Report, ResultExt as _};
use hibiscushinged::Daemon;
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::flags::Hibiscushinged;

/// The daemon could not start.
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
    let settings = read_settings(flags)?;
    if flags.check {
        println!("{}: settings are valid", flags.settings.display());
        return Ok(());
    }
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
    actix_rt::System::new().block_on(serve(settings))
}

fn read_settings(flags: &Hibiscushinged) -> Result<DaemonSettings, Report<StartFailed>> {
    let file = flags.settings.display().to_string();
    let text = std::fs::read_to_string(&flags.settings)
        .change_context_lazy(|| StartFailed(format!("reading the settings file \"{file}\"")))?;
    DaemonSettings::parse(&file, &text).map_err(|problems| {
        let lines = problems.iter().map(ToString::to_string).collect::<Vec<_>>();
        Report::new(StartFailed(lines.join("\n")))
    })
}

async fn serve(settings: DaemonSettings) -> Result<(), Report<StartFailed>> {
    let failed = || StartFailed(String::from("starting the daemon"));
    let mut terminate = signal(SignalKind::terminate()).change_context_lazy(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context_lazy(failed)?;
    let daemon = Daemon::start(settings).change_context_lazy(failed)?;
    let addresses = daemon.addresses();
    println!("listening {} {} {}", addresses.listen, addresses.peer, addresses.admin);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.drain().await;
    Ok(())
}
