//! The configuration of membership: `[fleet]` of the operator file, and the peers of the platform's configuration.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;

use stonevane_config::operator;
use stonevane_membership::Setup;

use crate::clock::to_micros;
use crate::config::Config;

/// A fleet has at most so many members.
const MAX_MEMBERS: usize = 4_096;

/// What is wrong with the peers of a configuration.
#[derive(Debug, thiserror::Error)]
pub enum PeersError {
    /// The address for datagrams cannot be read.
    #[error("[fleet]: unusable peer_listen in the configuration: {0:?}")]
    UnusableListen(String),
    /// The address of a peer cannot be read.
    #[error("[fleet]: unusable peers[{number}] in the configuration: {text:?}")]
    UnusablePeer {
        /// The peer's number.
        number: usize,
        /// Its address, as the file has it.
        text: String,
    },
    /// Two peers have the same address.
    #[error("[fleet]: `peers` names {address} twice, as {first} and {second}")]
    Duplicate {
        /// The address.
        address: SocketAddr,
        /// The first peer that has it.
        first: usize,
        /// A later one.
        second: usize,
    },
    /// There are no peers, or too many.
    #[error("[fleet]: `peers` names {0} nodes; 1 to {MAX_MEMBERS}")]
    Count(usize),
    /// This node is none of the peers.
    #[error("[fleet]: this node has number {own}, and `peers` names {count}")]
    OwnNumber {
        /// This node's number.
        own: u32,
        /// How many peers there are.
        count: usize,
    },
    /// A later list of peers is shorter than the one in force.
    #[error("[fleet]: `peers` names {present} nodes, and named {previous} before")]
    Fewer {
        /// Peers of the later list.
        present: usize,
        /// Peers of the list in force.
        previous: usize,
    },
}

/// The configuration of membership.
#[derive(Debug)]
pub struct MembershipConfig {
    pub(super) setup: Setup,
    pub(super) listen: SocketAddr,
    pub(super) peers: Vec<SocketAddr>,
}

impl MembershipConfig {
    /// Reads it from the configuration of the process.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn new(fleet: &operator::Fleet, config: &Config) -> Result<MembershipConfig, Vec<PeersError>> {
        let listen = config.peer_listen.parse::<SocketAddr>();
        let listen = listen.map_err(|_| PeersError::UnusableListen(config.peer_listen.clone()));
        let (listen, peers) = match (listen, peer_addresses(config)) {
            (Ok(listen), Ok(peers)) => (listen, peers),
            (listen, peers) => {
                return Err(listen.err().into_iter().chain(peers.err().into_iter().flatten()).collect());
            }
        };
        let setup = Setup {
            number: config.deployment.settings.node_index as u16,
            members: peers.len() as u16,
            period: to_micros(fleet.period),
            probe_timeout: to_micros(fleet.answer),
            indirect_probes: fleet.indirect,
            suspicion_multiplier: fleet.suspicion,
            uses_local_health: fleet.heeds_health,
            key: fleet.key,
            max_version: fleet.speaks,
            seed: config.seed,
            nonce: instance_nonce(),
        };
        Ok(MembershipConfig { setup, listen, peers })
    }
}

/// A nonce from the operating system's randomness: with the configuration's seed or a clock, two starts could share it.
fn instance_nonce() -> u32 {
    RandomState::new().hash_one(std::process::id()) as u32
}

/// The addresses of the peers, in the order of their numbers.
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
