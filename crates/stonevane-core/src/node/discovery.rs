//! Calls to the discovery service: its address, and the times of the calls.

use std::net::SocketAddr;

use stonevane_policy::{Event, ListUpdate, Micros};

use super::Core;
use crate::discovery_timeouts::DiscoveryTimeouts;
use crate::faults::{Faults, Mutant};
use crate::io::{DiscoveryCall, DiscoveryRequest, Output};
use crate::list::DiscoveryEpoch;
use crate::timers::TimerKind;

/// The current discovery service and the state of the list that it sent.
pub(super) struct DiscoveryState {
    address: SocketAddr,
    pub epoch: DiscoveryEpoch,
    /// Version of the current list; `None` without a list from this service.
    pub list_version: Option<u64>,
    /// Earliest time of the process's first watch; `None` if that watch need not wait or has been opened.
    pub first_watch_at: Option<Micros>,
    /// Whether no more calls are made because one has failed; only set by [`Mutant::NoDiscoveryRetry`].
    pub calls_stopped: bool,
}

impl DiscoveryState {
    pub fn new(address: SocketAddr) -> DiscoveryState {
        DiscoveryState { address, epoch: 0, list_version: None, first_watch_at: None, calls_stopped: false }
    }
}

impl<F: Faults> Core<F> {
    /// Returns the version of the current endpoint list; `None` without a list from the current discovery
    /// service.
    pub fn list_version(&self) -> Option<u64> {
        self.discovery.list_version
    }

    pub(super) fn call_discovery(&mut self, request: DiscoveryRequest) {
        self.out.push_back(Output::Discovery(DiscoveryCall {
            request,
            address: self.discovery.address,
            epoch: self.discovery.epoch,
            timeouts: DiscoveryTimeouts::of(&self.deployment.settings),
        }));
    }

    /// Opens a watch; the process's first watch is delayed until `first_watch_at`.
    pub(super) fn open_watch(&mut self) {
        match self.discovery.first_watch_at {
            Some(at) if at > self.now => self.timers.push(at, TimerKind::FirstWatch),
            _ => {
                self.discovery.first_watch_at = None;
                let after = self.discovery.list_version;
                self.call_discovery(DiscoveryRequest::Watch { after });
            }
        }
    }

    /// Opens the first watch, unless it has already been opened at another discovery service.
    pub(super) fn on_first_watch(&mut self) {
        if self.discovery.first_watch_at.is_some() && !self.discovery.calls_stopped {
            self.open_watch();
        }
    }

    pub(super) fn on_list_failed(&mut self) {
        self.discovery.calls_stopped |= self.faults.injects(Mutant::NoDiscoveryRetry);
        self.notify_policy(Event::ServerList { kind: ListUpdate::Failed, servers: Vec::new() });
    }

    /// Switches to another discovery service and fetches its full list. The list versions of two services are
    /// independent: a watch at the new service that starts from a version of the previous one might never
    /// return an update.
    pub(super) fn move_discovery(&mut self, address: SocketAddr) {
        if address == self.discovery.address {
            return;
        }
        self.call_discovery(DiscoveryRequest::CancelAll);
        self.discovery.first_watch_at = None;
        self.discovery.address = address;
        self.discovery.list_version = None;
        self.discovery.epoch += 1;
        let polls = self.deployment.settings.poll_discovery;
        let watch = DiscoveryRequest::Watch { after: None };
        self.call_discovery(if polls { watch } else { DiscoveryRequest::WatchAgent });
    }
}
