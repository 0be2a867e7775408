//! A small deployment of separate processes: the platform, upstreams and daemons.

use std::{
    fmt::Write as _,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use base::{Incarnation, KeyDigest};
use configuration::ConfigVersion;
use hibiscushinge::{EditOutcome, OperatorClient};
use serde_json::{Value, json};

use crate::{ProcessHandle, get_json, post_json, wait_for};

/// What a test deployment consists of.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Zone of each daemon. Its length is the number of daemons.
    pub daemons: Vec<&'static str>,
    /// Additional command line arguments of each model engine.
    pub engines: Vec<Vec<String>>,
    /// Additional command line arguments of each upstream of the plain service.
    pub plain_services: Vec<Vec<String>>,
    /// Additional command line arguments of the platform stand-in.
    pub platform: Vec<String>,
    /// TOML lines that are added to the settings of every daemon.
    pub settings: String,
    /// Number of traffic threads of each daemon.
    pub traffic_threads: u32,
    /// Duration of a limit grant, as text with its unit.
    pub limit_grant: &'static str,
    /// Top-level TOML lines of the document, before its tables.
    pub document: String,
    /// Additional TOML tables at the end of the document.
    pub tables: String,
}

/// The running processes of a test deployment. Dropping it kills them, and removes their logs
/// unless the test panics.
#[derive(Debug)]
pub struct TestFleet {
    /// Platform stand-in.
    pub platform: ProcessHandle,
    /// Model engines, all in zone `hobart-a`.
    pub engines: Vec<ProcessHandle>,
    /// Upstreams of the plain service, all in zone `hobart-a`.
    pub plain_services: Vec<ProcessHandle>,
    /// Daemons. Address 0 is for callers, 1 for peers, 2 for operators.
    pub daemons: Vec<ProcessHandle>,
    options: FleetOptions,
    folder: PathBuf,
}

static NEXT_FOLDER_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Returns the API key of a customer or trainer of the test document.
#[must_use]
pub fn caller_key(name: &str) -> String {
    format!("key-of-{name}")
}

/// Builds the document of the test deployment with these customers.
#[must_use]
pub fn document_text(fleet: &TestFleet, customers: &[&str]) -> String {
    let mut text = String::from("environment = \"production\"\ntime_zone = \"Australia/Hobart\"\n");
    text.push_str(&fleet.options.document);
    for zone in ["hobart-a", "hobart-b", "kingston-c"] {
        let table =
            format!("[[zones]]\nname = \"{zone}\"\nregion = \"tas-south\"\nentry_vms = 1\n");
        text.push_str(&table);
    }
    text.push_str("[[services]]\nname = \"draft-models\"\nkind = \"model\"\n");
    text.push_str("[[services]]\nname = \"dieline-index\"\nkind = \"plain\"\n");
    push_pool(&mut text, "draft-models", &fleet.engines);
    push_pool(&mut text, "dieline-index", &fleet.plain_services);
    push_route(&mut text, "draft", "draft-models", "idempotent = true");
    push_route(&mut text, "order", "dieline-index", "idempotent = false");
    push_route(&mut text, "open", "dieline-index", "idempotent = true\nopen = true");
    for customer in customers {
        let digest = KeyDigest::of(&caller_key(customer));
        writeln!(
            text,
            "[[customers]]\nname = \"{customer}\"\nkeys = [\"{digest}\"]\nweight = 1\n\
             tokens_per_second = 1000000\nrequests_per_second = 1000"
        )
        .expect("writing to a string succeeds");
    }
    for (trainer, scorer) in [("layouts", ""), ("captions", "scorer = \"dieline-index\"\n")] {
        let digest = KeyDigest::of(&caller_key(trainer));
        write!(
            text,
            "[[trainers]]\nname = \"{trainer}\"\nkey = \"{digest}\"\nservice = \"draft-models\"\n\
             staleness_bound = 1\nmin_group = 1\nmax_group = 64\n{scorer}"
        )
        .expect("writing to a string succeeds");
    }
    text.push_str(&fleet.options.tables);
    text
}

/// Appends the pool of a service with the addresses of its upstreams.
fn push_pool(text: &mut String, service: &str, upstreams: &[ProcessHandle]) {
    let addresses = upstreams.iter().map(|upstream| format!("\"{}\"", upstream.address(0)));
    let addresses = addresses.collect::<Vec<_>>().join(", ");
    let count = upstreams.len().max(1);
    write!(
        text,
        "[[pools]]\nservice = \"{service}\"\nzone = \"hobart-a\"\nmin_count = 0\n\
         max_count = {count}\nprice_cents_per_hour = 100\nstartup = \"1s\"\nspeed = 200\n\
         fencing = \"checked\"\naddresses = [{addresses}]\n"
    )
    .expect("writing to a string succeeds");
}

/// Appends a route to a service.
fn push_route(text: &mut String, path: &str, service: &str, flags: &str) {
    let table = format!(
        "[[routes]]\npath = \"{path}\"\nservice = \"{service}\"\n{flags}\nmax_deadline = \"30s\"\n"
    );
    text.push_str(&table);
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            daemons: vec!["hobart-a", "hobart-b", "kingston-c"],
            engines: vec![Vec::new(), Vec::new()],
            plain_services: vec![Vec::new()],
            platform: Vec::new(),
            settings: String::new(),
            traffic_threads: 1,
            limit_grant: "1s",
            document: String::new(),
            tables: String::new(),
        }
    }
}

impl TestFleet {
    /// Starts all processes and makes the platform list the daemons. No document is in force yet.
    ///
    /// # Panics
    ///
    /// Panics when a process cannot be started.
    pub async fn start(options: FleetOptions) -> Self {
        let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("hibiscushinge-{}-{number}", process::id()));
        fs::create_dir_all(&folder)
            .expect("the folder of the test's logs and settings can be created");
        let platform = start_stand_in(&folder, "platform", 0, &options.platform);
        let engines = options.engines.iter().enumerate();
        let engines = engines.map(|(index, extra)| start_stand_in(&folder, "engine", index, extra));
        let engines = engines.collect();
        let plain_services = options.plain_services.iter().enumerate();
        let plain_services = plain_services
            .map(|(index, extra)| start_stand_in(&folder, "plain", index, extra))
            .collect();
        let mut fleet =
            Self { platform, engines, plain_services, daemons: Vec::new(), options, folder };
        for index in 0..fleet.options.daemons.len() {
            let daemon = fleet.start_daemon(index);
            fleet.daemons.push(daemon);
        }
        fleet.publish_vms().await;
        fleet
    }

    /// Starts the daemon at `index` with the settings of all daemons. Call it again to restart a
    /// daemon that has ended.
    #[must_use]
    pub fn start_daemon(&self, index: usize) -> ProcessHandle {
        self.start_daemon_with(index, self.options.daemons[index], &self.options.settings)
    }

    /// Starts the daemon with this index in a zone, with these additional lines of settings.
    #[must_use]
    pub fn start_daemon_with(&self, index: usize, zone: &str, settings: &str) -> ProcessHandle {
        self.start_daemon_through(index, zone, self.platform.address(0), settings)
    }

    /// Starts a daemon that reaches the platform at the address `platform`, such as that of a
    /// relay.
    #[must_use]
    pub fn start_daemon_through(
        &self,
        index: usize,
        zone: &str,
        platform: SocketAddr,
        settings: &str,
    ) -> ProcessHandle {
        let text = format!(
            "vm_name = \"entry-{index}\"\nzone = \"{zone}\"\nenvironment = \"production\"\n\
             listen = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             platform = \"{platform}\"\nplatform_fencing = \"checked\"\ntraffic_threads = {}\n{settings}[timeouts]\n\
             limit_grant = \"{}\"\n",
            self.options.traffic_threads, self.options.limit_grant
        );
        let file = self.folder.join(format!("daemon-{index}.toml"));
        fs::write(&file, text).expect("the daemon's settings file can be written");
        let arguments = [String::from("--settings"), file.display().to_string()];
        ProcessHandle::start("hibiscushinged", &arguments, &self.log(index))
    }

    /// Returns the path of the log file of the daemon at `index`. A restart overwrites the file.
    #[must_use]
    pub fn log(&self, index: usize) -> PathBuf {
        self.folder.join(format!("daemon-{index}.log"))
    }

    /// Makes the platform list the daemons as live VMs at their present addresses. A restarted
    /// daemon has new ports.
    pub async fn publish_vms(&self) {
        let vms = self.daemons.iter().enumerate().map(|(index, daemon)| {
            json!({
                "name": format!("entry-{index}"),
                "zone": self.options.daemons[index],
                "address": daemon.address(1).to_string(),
                "state": "live",
            })
        });
        let status = post_json(self.platform.address(0), "/vms", &vms.collect()).await;
        assert_eq!(status, 200, "the platform refused the list of VMs");
    }

    /// Returns a client for an operator's edits of documents. Clients with different `writer`
    /// numbers are different operators.
    #[must_use]
    pub fn operator(&self, writer: u64) -> OperatorClient {
        OperatorClient::new(self.platform.address(0), Incarnation(writer))
    }

    /// Puts the first document in force and waits until every daemon serves it.
    ///
    /// # Panics
    ///
    /// Panics when the document is refused.
    pub async fn apply_first_document(&self, customers: &[&str]) {
        let text = document_text(self, customers);
        let edit = self.operator(1).edit("production", ConfigVersion(0), &text).await;
        assert_eq!(edit, Ok(EditOutcome::Accepted(ConfigVersion(1))));
        self.wait_for_version(1).await;
    }

    /// Waits until all daemons have this or a later version of the document in force, and all their
    /// upstreams, at least one, are in phase `Serving`.
    pub async fn wait_for_version(&self, version: u64) {
        for daemon in &self.daemons {
            let admin = daemon.address(2);
            wait_for("the document in force and all upstreams in phase Serving", || async move {
                let status = get_json(admin, "/admin/status").await?;
                let in_force = status["configuration"]["version"].as_u64()? >= version;
                let upstreams = status["upstreams"].as_array()?;
                let serving =
                    upstreams.iter().filter(|upstream| upstream["phase"] == "Serving").count();
                (in_force && serving > 0 && serving == upstreams.len()).then_some(())
            })
            .await;
        }
    }

    /// Returns the state of the platform stand-in: the orders, reports and queries that it
    /// received, and its upstreams.
    ///
    /// # Panics
    ///
    /// Panics when the platform does not respond.
    pub async fn inspect(&self) -> Value {
        let state = get_json(self.platform.address(0), "/inspect").await;
        state.expect("the platform stand-in responds to GET /inspect with JSON")
    }

    /// Changes the faults that the platform stand-in injects. Faults that `change` does not name
    /// stay.
    pub async fn fault(&self, change: &Value) {
        let status = post_json(self.platform.address(0), "/faults", change).await;
        assert_eq!(status, 200, "the platform refused the change of faults {change}");
    }

    /// Returns the address for callers of the daemon at `index`.
    #[must_use]
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.daemons[index].address(0)
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "the test failed; the logs of its processes are in {}",
                self.folder.display()
            );
            return;
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Starts a stand-in of this kind on a free port, with additional arguments.
fn start_stand_in(
    folder: &std::path::Path,
    kind: &str,
    index: usize,
    extra: &[String],
) -> ProcessHandle {
    let mut arguments =
        vec![String::from(kind), String::from("--listen"), String::from("127.0.0.1:0")];
    arguments.extend_from_slice(extra);
    ProcessHandle::start("stand-in", &arguments, &folder.join(format!("{kind}-{index}.log")))
}
