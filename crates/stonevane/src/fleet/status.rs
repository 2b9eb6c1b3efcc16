//! `stonevane fleet status`, `watch` and `explain`: query running nodes for their view of the members.

mod print;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::Args;
use serde_json::Value;

use self::print::{members, print_member, print_table, text};
use crate::error::CommandError;

/// Maximum length of a node's response.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Time limit for connecting to a node and for each read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The nodes to query and the output format.
#[derive(Args)]
pub struct NodeQuery {
    /// Management addresses (`mgmt`) of the nodes to query, each IP:PORT.
    #[arg(required = true, value_name = "ADDRESS")]
    nodes: Vec<SocketAddr>,
    /// Print JSON as the nodes report it.
    #[arg(long)]
    json: bool,
}

/// Failure to get a node's report.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("{0}")]
    Io(#[from] io::Error),
    /// First line of the body of a response whose status is not 200.
    #[error("{0}")]
    Status(String),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// A node's report of the members.
struct MemberReport {
    node: SocketAddr,
    value: Value,
}

/// Fetches a node's report.
fn fetch(node: SocketAddr) -> Result<Value, ReportError> {
    let mut stream = TcpStream::connect_timeout(&node, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: fleet\r\n\r\n")?;
    let mut response = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    if !response.starts_with("HTTP/1.1 200 ") {
        return Err(ReportError::Status(body.lines().next().unwrap_or("empty response").to_owned()));
    }
    Ok(serde_json::from_str(body)?)
}

impl NodeQuery {
    /// Fetches the reports of all nodes; prints the nodes that fail on standard error.
    fn reports(&self) -> Result<Vec<MemberReport>, CommandError> {
        let responses: Vec<_> = self.nodes.iter().map(|node| (*node, fetch(*node))).collect();
        let mut reports = Vec::new();
        for (node, response) in responses {
            match response {
                Ok(value) => reports.push(MemberReport { node, value }),
                Err(error) => errln!("stonevane: {node}: {error}"),
            }
        }
        if reports.is_empty() {
            return Err(CommandError::not_run("no node answered"));
        }
        Ok(reports)
    }

    pub(super) fn status(&self) -> Result<(), CommandError> {
        for MemberReport { node, value } in self.reports()? {
            match self.json {
                true => outln!("{value}"),
                false => print_table(node, &value),
            }
        }
        Ok(())
    }

    pub(super) fn watch(&self, interval: Duration, looks: u64) -> Result<(), CommandError> {
        let mut previous: BTreeMap<(SocketAddr, u64), String> = BTreeMap::new();
        for poll in 1u64.. {
            for MemberReport { node, value } in self.reports()? {
                for member in members(&value) {
                    self.print_change(node, member, &mut previous);
                }
            }
            if poll == looks {
                break;
            }
            std::thread::sleep(interval);
        }
        Ok(())
    }

    /// Prints the member if its state or its link changed since the previous poll.
    fn print_change(
        &self,
        node: SocketAddr,
        member: &Value,
        previous: &mut BTreeMap<(SocketAddr, u64), String>,
    ) {
        let number = member["member"].as_u64().unwrap_or(0);
        let now = format!("{}, {}", text(member, "state"), text(member, "link"));
        let was = previous.insert((node, number), now.clone());
        if was.as_ref() == Some(&now) {
            return;
        }
        if self.json {
            outln!("{}", serde_json::json!({"node": node.to_string(), "was": was, "member": member}));
        } else {
            outln!("{node}  n{number}: {} -> {now}", was.as_deref().unwrap_or("-"));
        }
    }

    pub(super) fn explain(&self, name: &str) -> Result<(), CommandError> {
        let number: Option<u64> = name.strip_prefix('n').unwrap_or(name).parse().ok();
        let matches =
            |member: &&Value| text(member, "address") == name || member["member"].as_u64() == number;
        let mut found = false;
        for MemberReport { value, .. } in &self.reports()? {
            let Some(member) = members(value).iter().find(matches) else { continue };
            found = true;
            match self.json {
                true => outln!("{member}"),
                false => print_member(value, member),
            }
        }
        if found {
            Ok(())
        } else {
            Err(CommandError::Unusable(format!("no queried node has a member `{name}`")))
        }
    }
}
