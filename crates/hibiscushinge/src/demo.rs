//! `hibiscushinge demo`: runs a whole deployment in one process and checks the guarantees of the
//! service, called promises.

mod caller;
mod checks;
mod config;
mod deployment;
mod steps;

use std::time::Duration;

use crate::{
    demo::{checks::PromiseChecks, deployment::DemoDeployment},
    exit::ExitStatus,
    flags::Demo,
    output::CommandFailure,
};

/// Bound on the duration of all steps. A run that takes longer has stalled, even on a slow machine.
const RUN_TIMEOUT: Duration = Duration::from_secs(240);

/// Runs all steps and prints which promises were kept.
pub(crate) async fn run(flags: &Demo) -> Result<ExitStatus, CommandFailure> {
    if flags.verbose {
        let filter = tracing_subscriber::EnvFilter::new("info");
        let lines = tracing_subscriber::fmt().json().with_env_filter(filter);
        lines.with_writer(std::io::stderr).init();
    }
    let seed = flags.seed.unwrap_or(1);
    println!("A deployment in this process, on loopback, with seed {seed}");
    let mut checks = PromiseChecks::new();
    let mut deployment = DemoDeployment::start(seed).await.map_err(CommandFailure::failed)?;
    deployment.print_addresses();
    let steps = steps::run(&mut deployment, &mut checks);
    let result = match actix_rt::time::timeout(RUN_TIMEOUT, steps).await {
        Ok(result) => result,
        Err(_) => Err(format!("the steps did not end within {} s", RUN_TIMEOUT.as_secs())),
    };
    if let Err(reason) = result {
        checks.record("The run reaches its end", false, reason);
    }
    deployment.stop().await;
    Ok(checks.print_summary())
}
