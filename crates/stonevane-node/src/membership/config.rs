//! The configuration of membership: `[fleet]` of the operator file, and the peers of the platform's
//! configuration.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

use stonevane_config::operator;
use stonevane_membership::MemberConfig;

use crate::clock::to_micros;
use crate::config::Config;

/// Maximum number of members of a fleet.
const MAX_MEMBERS: usize = 4_096;

/// Error in the peers of a configuration.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// `peer_listen` is not a socket address.
    #[error("[fleet]: unusable peer_listen in the configuration: {0:?}; expected IP:PORT")]
    UnusableListen(String),
    /// The address of a peer is not a socket address.
    #[error("[fleet]: unusable peers[{number}] in the configuration: {text:?}; expected IP:PORT")]
    UnusablePeer {
        /// Index of the peer in the list.
        number: usize,
        /// Address as written in the file.
        text: String,
    },
    /// Two peers have the same address.
    #[error("[fleet]: `peers` names {address} twice, as {first} and {second}")]
    Duplicate {
        /// Address of both peers.
        address: SocketAddr,
        /// Index of the first peer with the address.
        first: usize,
        /// Index of the later peer.
        second: usize,
    },
    /// The number of peers is not within 1 to `MAX_MEMBERS`.
    #[error("[fleet]: `peers` names {0} nodes; accepted: 1 to {MAX_MEMBERS}")]
    Count(usize),
    /// The number of this node is not an index of the peers.
    #[error("[fleet]: this node has number {own}, but `peers` names {count} nodes, numbered from 0")]
    OwnNumber {
        /// Number of this node.
        own: u32,
        /// Number of peers.
        count: usize,
    },
    /// A reload shortens the list of peers; members keep their numbers, so the list can only grow.
    #[error("[fleet]: `peers` names {present} nodes and named {previous} before; nodes can only be added")]
    Fewer {
        /// Number of peers in the new list.
        present: usize,
        /// Number of peers in the list in force.
        previous: usize,
    },
}

/// Configuration of membership, checked.
#[derive(Debug)]
pub struct MembershipConfig {
    pub(super) member_config: MemberConfig,
    pub(super) listen: SocketAddr,
    pub(super) peers: Vec<SocketAddr>,
}

impl MembershipConfig {
    /// Derives the configuration of membership from that of the process.
    ///
    /// # Errors
    /// All errors of `peer_listen` and the peers.
    pub fn new(fleet: &operator::Fleet, config: &Config) -> Result<MembershipConfig, Vec<PeersError>> {
        let listen = config.peer_listen.parse::<SocketAddr>();
        let listen = listen.map_err(|_| PeersError::UnusableListen(config.peer_listen.clone()));
        let (listen, peers) = match (listen, peer_addresses(config)) {
            (Ok(listen), Ok(peers)) => (listen, peers),
            (listen, peers) => {
                return Err(listen.err().into_iter().chain(peers.err().into_iter().flatten()).collect());
            }
        };
        let member_config = MemberConfig {
            number: config.deployment.settings.node_index as u16,
            members: peers.len() as u16,
            period: to_micros(fleet.period),
            probe_timeout: to_micros(fleet.probe_timeout),
            indirect_probes: fleet.indirect,
            suspicion_multiplier: fleet.suspicion,
            uses_local_health: fleet.uses_local_health,
            key: fleet.key,
            max_version: fleet.max_version,
            seed: config.seed,
            nonce: instance_nonce(),
        };
        Ok(MembershipConfig { member_config, listen, peers })
    }
}

/// Returns a nonce from the operating system's randomness: derived from the configuration's seed or a clock,
/// two starts of a node could have the same one.
fn instance_nonce() -> u32 {
    RandomState::new().hash_one(std::process::id()) as u32
}

/// Parses the addresses of the peers, in the order of their numbers.
pub(super) fn peer_addresses(config: &Config) -> Result<Vec<SocketAddr>, Vec<PeersError>> {
    let mut errors = Vec::new();
    let mut first_numbers: HashMap<SocketAddr, usize> = HashMap::new();
    let mut addresses = Vec::with_capacity(config.peers.len());
    for (number, text) in config.peers.iter().enumerate() {
        let Ok(address) = text.parse::<SocketAddr>() else {
            errors.push(PeersError::UnusablePeer { number, text: text.clone() });
            continue;
        };
        if let Some(first) = first_numbers.insert(address, number) {
            errors.push(PeersError::Duplicate { address, first, second: number });
        }
        addresses.push(address);
    }
    let own = config.deployment.settings.node_index;
    let count = config.peers.len();
    if !(1..=MAX_MEMBERS).contains(&count) {
        errors.push(PeersError::Count(count));
    } else if own as usize >= count {
        errors.push(PeersError::OwnNumber { own, count });
    }
    if errors.is_empty() { Ok(addresses) } else { Err(errors) }
}
