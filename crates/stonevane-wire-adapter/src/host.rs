//! Host of policy instances: applies the records of a batch in order and collects the actions for the reply.
//!
//! Owns the instances and the numbered server lists that records refer to.

use std::collections::HashMap;

use stonevane_policy::settings::{self, SettingsError};
use stonevane_policy::{Action, Event, ListUpdate, Micros, Policy, Request, ServerEntry};

use crate::codec::{self, BatchHeader, CodecError, Record, Reply};

/// Number of server lists that can be defined; their numbers start at 0.
const MAX_LISTS: usize = 16;

/// Error of processing a batch.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// A record cannot be decoded.
    #[error("batch {batch}, record {index}: {error}")]
    Record {
        /// Number of the batch, from its header.
        batch: u32,
        /// Position of the record in the batch, from 0.
        index: usize,
        /// Cause.
        error: CodecError,
    },
    /// A record contradicts the records before it.
    #[error("batch {batch}: {error}")]
    State {
        /// Number of the batch, from its header.
        batch: u32,
        /// Cause.
        error: StateError,
    },
}

/// Error of a record that contradicts the records before it.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The settings of an instance are rejected.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Stop of an instance that is not running.
    #[error("shutdown of unknown instance {0}")]
    StopOfUnknownInstance(u16),
    /// Event for an instance that is not running.
    #[error("event for unknown instance {0}")]
    UnknownInstance(u16),
    /// Definition of a list whose number is out of range.
    #[error("census with list number {0} out of range, expected 0 to 15")]
    ListOutOfRange(u16),
    /// List update that refers to a list that was not defined.
    #[error("roster_change names unknown list {0}")]
    UnknownList(u16),
    /// Request of a class that the settings lack.
    #[error("request of class {0} that the settings do not have")]
    UnknownClass(usize),
    /// Request of a tenant that the settings lack.
    #[error("request of tenant {0} that the settings do not have")]
    UnknownTenant(usize),
}

/// A running policy, with the counts that its requests are validated against.
struct Instance {
    policy: Policy,
    classes: usize,
    tenants: usize,
}

impl Instance {
    fn validate(&self, request: &Request) -> Result<(), StateError> {
        if request.class >= self.classes {
            return Err(StateError::UnknownClass(request.class));
        }
        if request.tenant >= self.tenants.max(1) {
            return Err(StateError::UnknownTenant(request.tenant));
        }
        Ok(())
    }
}

/// All running instances and defined lists, and the reply to the current batch.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u16, Instance>,
    lists: [Option<Vec<ServerEntry>>; MAX_LISTS],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Processes a batch and writes its reply into `frame`. Stops at the first record that fails.
    pub fn process(
        &mut self,
        header: BatchHeader,
        body: &[u8],
        frame: &mut Vec<u8>,
    ) -> Result<(), BatchError> {
        let batch = header.number;
        for index in 0..header.records {
            let record = codec::read_record(body, header.records, index)
                .map_err(|error| BatchError::Record { batch, index, error })?;
            self.apply(header.now, record).map_err(|error| BatchError::State { batch, error })?;
        }
        self.reply.finish(batch, frame);
        Ok(())
    }

    fn apply(&mut self, now: Micros, record: Record<'_>) -> Result<(), StateError> {
        match record {
            Record::Start { node, seed, settings } => self.start(node, seed, settings),
            Record::Stop(node) => match self.instances.remove(&node) {
                Some(_) => Ok(()),
                None => Err(StateError::StopOfUnknownInstance(node)),
            },
            Record::List { number, entries } => {
                let slot = self.lists.get_mut(usize::from(number));
                *slot.ok_or(StateError::ListOutOfRange(number))? = Some(entries);
                Ok(())
            }
            Record::ListUpdate { node, kind, number } => {
                let servers = self.list(kind, number)?;
                self.handle(now, node, Event::ServerList { kind, servers })
            }
            Record::Event(node, event) => self.handle(now, node, event),
        }
    }

    fn start(&mut self, node: u16, seed: u64, settings: &[u8]) -> Result<(), StateError> {
        let settings = settings::read(settings)?.settings;
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        let policy = Policy::new(settings, seed);
        self.instances.insert(node, Instance { policy, classes, tenants });
        Ok(())
    }

    /// Returns the list that an update refers to, or an empty list if the update reports a failure.
    fn list(&self, kind: ListUpdate, number: u16) -> Result<Vec<ServerEntry>, StateError> {
        match kind {
            ListUpdate::Failed | ListUpdate::TimedOut { .. } => Ok(Vec::new()),
            ListUpdate::Full | ListUpdate::Cached | ListUpdate::Delta => {
                let list = self.lists.get(usize::from(number)).and_then(Option::as_ref);
                list.cloned().ok_or(StateError::UnknownList(number))
            }
        }
    }

    fn handle(&mut self, now: Micros, node: u16, event: Event) -> Result<(), StateError> {
        let instance = self.instances.get_mut(&node).ok_or(StateError::UnknownInstance(node))?;
        if let Event::Request(request) = &event {
            instance.validate(request)?;
        }
        instance.policy.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(node, &action);
        }
        Ok(())
    }
}
