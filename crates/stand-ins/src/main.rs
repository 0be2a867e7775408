//! Runs one stand-in until the process is killed. The address in use is printed as `listening
//! ADDR`.

mod flags;

use std::{io, net::SocketAddr, process::ExitCode, time::Duration};

use stand_ins::{
    CrashAction, Engine, EngineOptions, LaunchKind, PlainOptions, PlainService, Platform,
    PlatformOptions,
};

use crate::flags::{StandIn, StandInCmd};

fn main() -> ExitCode {
    let flags = StandIn::from_env_or_exit();
    let result = actix_rt::System::new().block_on(async {
        let address = start(flags.subcommand)?;
        println!("listening {address}");
        std::future::pending::<io::Result<()>>().await
    });
    if let Err(error) = result {
        eprintln!("stand-in: starting the server failed: {error}");
    }
    ExitCode::FAILURE
}

fn start(command: StandInCmd) -> io::Result<SocketAddr> {
    match command {
        StandInCmd::Platform(flags) => {
            let default = PlatformOptions::default();
            let engine_default = EngineOptions::default();
            let engine = || {
                let speed = flags.engine_speed.unwrap_or(engine_default.tokens_per_second);
                let options = EngineOptions { tokens_per_second: speed, ..engine_default.clone() };
                LaunchKind::Engine(Box::new(options))
            };
            let plain = || LaunchKind::Plain(PlainOptions::default());
            let engines = flags.engine_service.into_iter().map(|name| (name, engine()));
            let plains = flags.plain_service.into_iter().map(|name| (name, plain()));
            let options = PlatformOptions {
                listen: flags.listen,
                retained_records: flags.retain.unwrap_or(default.retained_records),
                appends_per_second: flags.appends.unwrap_or(default.appends_per_second),
                check_fencing: !flags.ignore_fencing,
                services: engines.chain(plains).collect(),
                ..default
            };
            Platform::start(options).map(|platform| platform.address())
        }
        StandInCmd::Engine(flags) => {
            let default = EngineOptions::default();
            let lag = flags.report_lag.map(Duration::from_millis);
            let options = EngineOptions {
                listen: flags.listen,
                platform: flags.platform,
                tokens_per_second: flags.speed.unwrap_or(default.tokens_per_second),
                report_lag: lag.unwrap_or(default.report_lag),
                crash_marker: flags.crash_marker,
                check_fencing: !flags.ignore_fencing,
                crash: CrashAction::ExitProcess,
                ..default
            };
            Engine::start(options).map(|engine| engine.address())
        }
        StandInCmd::Plain(flags) => {
            let default = PlainOptions::default();
            let time = flags.service_time.map(Duration::from_millis);
            let options = PlainOptions {
                listen: flags.listen,
                service_time: time.unwrap_or(default.service_time),
                crash_marker: flags.crash_marker,
                crash: CrashAction::ExitProcess,
                ..default
            };
            PlainService::start(options).map(|service| service.address())
        }
    }
}
