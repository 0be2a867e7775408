//! Child processes and waiting for what they do.

use std::{
    fs::File,
    future::Future,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Timeout of [`wait_for`]. Even a loaded machine needs far less, so its end means that the event
/// will not come.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A child process, which is killed when its handle is dropped.
#[derive(Debug)]
pub struct ProcessHandle {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl ProcessHandle {
    /// Starts a binary of this workspace with standard error in the file `log`, and reads the
    /// addresses from its first line, `listening ADDRESS...`.
    ///
    /// # Panics
    ///
    /// Panics when the binary does not exist or prints no address.
    #[must_use]
    pub fn start(binary: &str, arguments: &[String], log: &Path) -> Self {
        let path = binary_path(binary);
        let log = File::create(log).expect("the log file of the process can be created");
        let mut command = Command::new(&path);
        command.args(arguments).stdout(Stdio::piped()).stderr(log);
        let spawned = command.spawn();
        let mut child = spawned.unwrap_or_else(|error| {
            panic!("cannot start {}: {error}; `cargo xtask test` builds it", path.display())
        });
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the first line of the process can be read");
        let words = line.trim().strip_prefix("listening ").unwrap_or_default();
        let addresses = words.split(' ').filter_map(|word| word.parse().ok()).collect::<Vec<_>>();
        assert!(!addresses.is_empty(), "{binary} printed {line:?} instead of its addresses");
        Self { child, addresses }
    }

    /// Returns the address with this index in the printed line.
    ///
    /// # Panics
    ///
    /// Panics when the process printed fewer addresses.
    #[must_use]
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without notice, as the failure of its VM would, and waits for its end.
    pub fn kill(&mut self) {
        // An error means that the process has ended already.
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
        assert!(
            status.is_ok_and(|status| status.success()),
            "cannot send signal {name} to process {id}"
        );
    }

    /// Returns the exit code, or `None` if the process still runs or was ended by a signal.
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

/// Repeats `probe` until it returns a value. `what` names the awaited event in the message of the
/// panic.
///
/// # Panics
///
/// Panics after 60 s without a value.
pub async fn wait_for<T, F: Future<Output = Option<T>>>(what: &str, probe: impl Fn() -> F) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "timeout: waited {WAIT_TIMEOUT:?} for {what}");
        // The pause leaves the processor to the processes under test.
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the largest amount of memory in bytes that a process has held so far, and the number of its
/// open descriptors. Returns `None` if it does not run.
#[must_use]
pub fn memory_and_descriptors(id: u32) -> Option<(u64, usize)> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kibibytes: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count();
    Some((kibibytes << 10, descriptors))
}

/// Returns the path of a binary that was built together with the test.
pub(crate) fn binary_path(binary: &str) -> PathBuf {
    // Cargo puts test binaries into `deps`, one folder below the binaries of the workspace.
    let mut path = std::env::current_exe().expect("the path of the test binary is known");
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(binary)
}
