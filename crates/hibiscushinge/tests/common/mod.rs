//! Helpers that start a platform and daemons in this process and run the tool against them.

#![allow(dead_code)]

use std::{
    future::Future,
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use document::DaemonSettings;
use hibiscushinged::Daemon;
use stand_ins::{Platform, PlatformOptions};

/// Bound on each wait. Even loaded machines need far less.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

static LAST_FILE: AtomicU32 = AtomicU32::new(0);

/// Returns the text of the example document.
pub(crate) fn example_document() -> String {
    std::fs::read_to_string(root().join("examples/derwent.toml")).unwrap()
}

pub(crate) fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Writes a file with a unique name and returns its path.
pub(crate) fn write_file(text: &str) -> String {
    let number = LAST_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("tool-{}-{number}.toml", std::process::id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Runs the tool and waits for it on another thread, since this one serves the platform.
pub(crate) async fn run_tool(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hibiscushinge"));
    command.current_dir(root()).args(arguments);
    actix_rt::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

/// Returns exit code, standard output and standard error.
pub(crate) fn exit_and_output(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap(), text(&output.stdout), text(&output.stderr))
}

pub(crate) fn platform() -> Platform {
    Platform::start(PlatformOptions::default()).unwrap()
}

pub(crate) fn daemon(platform: &Platform, vm: &str, zone: &str) -> Daemon {
    let text = format!(
        "vm_name = \"{vm}\"\nzone = \"{zone}\"\nenvironment = \"production\"\n\
         listen = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         platform = \"{}\"\nplatform_fencing = \"checked\"\ntraffic_threads = 1\n",
        platform.address()
    );
    Daemon::start(DaemonSettings::parse("daemon", &text).unwrap()).unwrap()
}

/// Calls `probe` until it returns a value, and panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    probe: impl Fn() -> F,
) -> T {
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(std::time::Instant::now() < end, "{what}: not seen within {WAIT_TIMEOUT:?}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
