//! `hibiscushinge status`.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use hibiscushinge::{AdminClient, Finding, FindingKind, NodeResult, NodeStatus, assess};
use serde_json::json;

use crate::{
    exit::ExitStatus,
    flags::Status,
    output::{CommandFailure, OutputFormat, print_json},
};

/// Prints the status of the named daemons, the findings, and advice for each.
pub(crate) async fn run(flags: &Status) -> Result<ExitStatus, CommandFailure> {
    if flags.node.is_empty() {
        return Err(CommandFailure::usage_error(
            "no daemon was named; give the admin address of each with `--node ADDR`",
        ));
    }
    let client = AdminClient::new();
    let queries = flags.node.iter().map(|node| async {
        (*node, client.status(*node).await.map_err(|error| error.to_string()))
    });
    let nodes = join_all(queries).await;
    let findings = assess(&nodes);
    let problems = findings.iter().filter(|finding| finding.kind == FindingKind::Problem).count();
    match OutputFormat::from_flag(flags.json) {
        OutputFormat::Text => print_text(&nodes, &findings, problems),
        OutputFormat::Json => {
            let nodes = nodes.iter().map(|(address, result)| match result {
                Ok(status) => json!({ "node": address, "status": status }),
                Err(error) => json!({ "node": address, "error": error }),
            });
            let nodes = nodes.collect::<Vec<_>>();
            print_json(&json!({ "well": problems == 0, "findings": findings, "nodes": nodes }));
        }
    }
    Ok(if problems == 0 { ExitStatus::Success } else { ExitStatus::Failed })
}

fn print_text(nodes: &[NodeResult], findings: &[Finding], problems: usize) {
    match problems {
        0 => println!("well: {} daemons answer", nodes.len()),
        1 => println!("not well: 1 problem"),
        _ => println!("not well: {problems} problems"),
    }
    println!(
        "{:<18} {:<12} {:<9} {:>8} {:>7} {:>9} {:>10} {:>6}  leases",
        "vm", "zone", "phase", "version", "flight", "upstreams", "peers", "log"
    );
    for (address, result) in nodes {
        match result {
            Ok(status) => print_node(status),
            Err(_) => println!("{address:<18} does not answer"),
        }
    }
    for finding in findings {
        let label = match finding.kind {
            FindingKind::Problem => "problem",
            FindingKind::Notice => "notice",
        };
        println!("{label}: {}: {}\n    {}", finding.subject, finding.seen, finding.advice);
    }
}

fn print_node(status: &NodeStatus) {
    let serving = status.upstreams.iter().filter(|upstream| upstream.phase == "Serving").count();
    let live = status.peers.iter().filter(|peer| peer.state == "live").count();
    let held = status.leases.iter().filter(|lease| lease.held.is_some());
    let held = held.map(|lease| lease.scope.as_str()).collect::<BTreeSet<_>>();
    println!(
        "{:<18} {:<12} {:<9} {:>8} {:>7} {:>9} {:>10} {:>6}  {}",
        status.vm,
        status.zone,
        status.phase,
        status.configuration.version,
        status.requests.in_flight,
        format!("{serving}/{}", status.upstreams.len()),
        format!("{live}/{} live", status.peers.len()),
        if status.log.down { "down" } else { "up" },
        held.into_iter().collect::<Vec<_>>().join(" "),
    );
}
