//! Fronts: each listens, reads its protocol into requests for the node's loop, and words the answers.

pub mod resp;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use spardeal::settings::Deployment;
use stonevane_config::operator::Clients;
use tokio::sync::{Notify, Semaphore, mpsc, watch};

use crate::clock::Clock;
use crate::hub::Input;
use crate::memory::Memory;
use crate::request::Phase;

/// What all connections of clients share.
pub struct Front {
    pub deployment: Arc<Deployment>,
    pub clock: Clock,
    pub hub: mpsc::Sender<Input>,
    /// Where the node stands.
    pub phase: watch::Receiver<Phase>,
    /// Connections that may still be taken, those for refusals included.
    pub room: Arc<Semaphore>,
    /// Places of the table that clients and servers share; connections to servers that stand idle give way.
    pub table: Arc<Semaphore>,
    /// How many of the places for clients are kept for refusals.
    pub refusals: usize,
    /// Wakes the connection that has been idle for longest, to give its place up.
    pub pressure: Notify,
    /// Requests that may still be taken; one counts until its answer is passed on.
    pub open: Arc<Semaphore>,
    /// What they and all else may hold.
    pub memory: Memory,
    /// Time limits on connections: points in time, which no dribbled byte moves.
    pub limits: Clients,
    /// Ids of the requests that are open.
    pub ids: Arc<Mutex<HashSet<Bytes>>>,
}

impl Front {
    /// Whether only places for refusals are left.
    pub fn crowded(&self) -> bool {
        self.room.available_permits().min(self.table.available_permits()) < self.refusals
    }
}
