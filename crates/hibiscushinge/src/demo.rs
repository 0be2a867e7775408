//! `hibiscushinge demo`: a whole deployment in one process, and a check of its promises.

mod account;
mod caller;
mod config;
mod steps;
mod world;

use std::time::Duration;

use crate::{
    demo::{account::PromiseAccount, world::DemoWorld},
    exit::ExitStatus,
    flags::Demo,
    output::CommandFailure,
};

/// Longest run. A run that takes longer has stalled, on any machine.
const RUN_LIMIT: Duration = Duration::from_secs(240);

/// Runs all steps and prints the account of the promises.
pub(crate) async fn run(flags: &Demo) -> Result<ExitStatus, CommandFailure> {
    if flags.verbose {
        let filter = tracing_subscriber::EnvFilter::new("info");
        let lines = tracing_subscriber::fmt().json().with_env_filter(filter);
        lines.with_writer(std::io::stderr).init();
    }
    let seed = flags.seed.unwrap_or(1);
    println!("A deployment in this process, on loopback, with seed {seed}");
    let mut account = PromiseAccount::new();
    let mut world = DemoWorld::start(seed).await.map_err(CommandFailure::failed)?;
    world.describe();
    let steps = steps::run(&mut world, &mut account);
    let result = match actix_rt::time::timeout(RUN_LIMIT, steps).await {
        Ok(result) => result,
        Err(_) => Err(format!("the run exceeded {} s", RUN_LIMIT.as_secs())),
    };
    if let Err(reason) = result {
        account.check("The run reaches its end", false, reason);
    }
    world.stop().await;
    Ok(account.close())
}
