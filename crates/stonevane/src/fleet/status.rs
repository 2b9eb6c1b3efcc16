//! `stonevane fleet status`, `watch` and `explain`: what running nodes report of membership.

mod print;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use clap::Args;
use serde_json::Value;

use self::print::{members, print_member, print_table, text};
use crate::error::CommandError;

/// The longest answer of a node, in bytes.
const MAX_ANSWER: u64 = 8 << 20;
/// The time limit for connecting to a node and for each read.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Whom to ask.
#[derive(Args)]
pub struct Ask {
    /// Second addresses (`mgmt`) of nodes.
    #[arg(required = true, value_name = "ADDRESS")]
    nodes: Vec<SocketAddr>,
    /// JSON as the nodes tell it.
    #[arg(long)]
    json: bool,
}

/// Why a node has not reported.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The first line of another answer than 200.
    #[error("{0}")]
    Status(String),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// What a node reports of the members.
struct MemberReport {
    node: SocketAddr,
    value: Value,
}

/// Asks a node for its report.
fn fetch(node: SocketAddr) -> Result<Value, ReportError> {
    let mut stream = TcpStream::connect_timeout(&node, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"GET /fleet HTTP/1.1\r\nHost: fleet\r\n\r\n")?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER).read_to_string(&mut answer)?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    if !answer.starts_with("HTTP/1.1 200 ") {
        return Err(ReportError::Status(body.lines().next().unwrap_or("no answer").to_owned()));
    }
    Ok(serde_json::from_str(body)?)
}

impl Ask {
    /// The reports of all nodes; those that do not answer are named on standard error.
    fn reports(&self) -> Result<Vec<MemberReport>, CommandError> {
        let answers: Vec<_> = self.nodes.iter().map(|node| (*node, fetch(*node))).collect();
        let mut reports = Vec::new();
        for (node, answer) in answers {
            match answer {
                Ok(value) => reports.push(MemberReport { node, value }),
                Err(error) => warn!("stonevane: {node}: {error}"),
            }
        }
        if reports.is_empty() {
            return Err(CommandError::not_run("nobody has told anything"));
        }
        Ok(reports)
    }

    pub(super) fn status(&self) -> Result<(), CommandError> {
        for MemberReport { node, value } in self.reports()? {
            match self.json {
                true => say!("{value}"),
                false => print_table(node, &value),
            }
        }
        Ok(())
    }

    pub(super) fn watch(&self, interval: Duration, looks: u64) -> Result<(), CommandError> {
        let mut before: BTreeMap<(SocketAddr, u64), String> = BTreeMap::new();
        for look in 1u64.. {
            for MemberReport { node, value } in self.reports()? {
                for member in members(&value) {
                    self.print_change(node, member, &mut before);
                }
            }
            if look == looks {
                break;
            }
            std::thread::sleep(interval);
        }
        Ok(())
    }

    /// Prints a member whose state has changed.
    fn print_change(
        &self,
        node: SocketAddr,
        member: &Value,
        before: &mut BTreeMap<(SocketAddr, u64), String>,
    ) {
        let number = member["member"].as_u64().unwrap_or(0);
        let now = format!("{}, {}", text(member, "state"), text(member, "link"));
        let was = before.insert((node, number), now.clone());
        if was.as_ref() == Some(&now) {
            return;
        }
        if self.json {
            say!("{}", serde_json::json!({"node": node.to_string(), "was": was, "member": member}));
        } else {
            say!("{node}  n{number}: {} -> {now}", was.as_deref().unwrap_or("-"));
        }
    }

    pub(super) fn explain(&self, name: &str) -> Result<(), CommandError> {
        let number: Option<u64> = name.strip_prefix('n').unwrap_or(name).parse().ok();
        let is_meant =
            |member: &&Value| text(member, "address") == name || member["member"].as_u64() == number;
        let mut found = false;
        for MemberReport { value, .. } in &self.reports()? {
            let Some(member) = members(value).iter().find(is_meant) else { continue };
            found = true;
            match self.json {
                true => say!("{member}"),
                false => print_member(value, member),
            }
        }
        if found { Ok(()) } else { Err(CommandError::Unusable(format!("nobody knows a member `{name}`"))) }
    }
}
