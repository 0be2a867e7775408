//! Child processes.

use std::{
    fs::File,
    future::Future,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for any event. Loaded machines need far less.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A process that ends with its handle.
#[derive(Debug)]
pub struct ProcessHandle {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl ProcessHandle {
    /// Starts a binary of this workspace and reads the addresses that it prints.
    ///
    /// # Panics
    ///
    /// Panics when the binary does not exist or prints no address.
    #[must_use]
    pub fn start(binary: &str, arguments: &[String], log: &Path) -> Self {
        let path = binary_path(binary);
        let log = File::create(log).expect("the log file can be created");
        let mut command = Command::new(&path);
        command.args(arguments).stdout(Stdio::piped()).stderr(log);
        let spawned = command.spawn();
        let mut child = spawned.unwrap_or_else(|error| {
            panic!("starting {}: {error}; run `cargo xtask test`", path.display())
        });
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output).read_line(&mut line).expect("the process prints a line");
        let words = line.trim().strip_prefix("listening ").unwrap_or_default();
        let addresses = words.split(' ').filter_map(|word| word.parse().ok()).collect::<Vec<_>>();
        assert!(!addresses.is_empty(), "{binary} printed {line:?} instead of its address");
        Self { child, addresses }
    }

    /// Returns the address with this position in the printed line.
    ///
    /// # Panics
    ///
    /// Panics when the process printed fewer addresses.
    #[must_use]
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process as a failed VM does.
    pub fn kill(&mut self) {
        // Errors mean that the process has ended, which is what was asked for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, for example `STOP`, `CONT` or `TERM`.
    ///
    /// # Panics
    ///
    /// Panics when the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "signal {name} to process {id}");
    }

    /// Returns the exit code if the process has ended.
    #[must_use]
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().and_then(|status| status.code())
    }
}

impl Drop for ProcessHandle {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Repeats `probe` until it returns a value.
///
/// # Panics
///
/// Panics with `what` when the limit passes.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(what: &str, probe: impl Fn() -> F) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "waited {WAIT_LIMIT:?} for {what}");
        // A short pause keeps probes from taking the processor from the processes under test.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

pub(crate) fn binary_path(binary: &str) -> PathBuf {
    // Test binaries lie in `deps`, one folder below the binaries of the workspace.
    let mut path = std::env::current_exe().expect("the test has a path");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(binary)
}
