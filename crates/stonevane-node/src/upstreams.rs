//! Connections to cache servers and the origin: one request at a time on each, since a connection answers
//! in order and a slow answer would stall those behind it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use spardeal::settings::Deployment;
use spardeal::{Micros, ServerId};
use stonevane_config::operator::Servers;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::AbortHandle;

use crate::backends::{Backend, Job, Seat};
use crate::hub::Input;
use crate::memory::Memory;
use crate::reply::{AttemptKey, ConnId};

struct Conn {
    server: ServerId,
    address: SocketAddr,
    jobs: mpsc::Sender<Job>,
    task: AbortHandle,
    /// The attempt that it was opened for or carries.
    attempt: Option<AttemptKey>,
    idle_since: Micros,
    carried: u64,
    _place: OwnedSemaphorePermit,
}

impl Conn {
    /// Whether its task still takes requests.
    fn up(&self) -> bool {
        !self.jobs.is_closed()
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        // A node gives an attempt up by closing its connection.
        self.task.abort();
    }
}

/// All connections to servers.
pub struct Pool {
    conns: HashMap<ConnId, Conn>,
    /// Idle connections of each server, the one used last at the end.
    idle: HashMap<ServerId, Vec<ConnId>>,
    next: ConnId,
    limit: usize,
    table: Arc<Semaphore>,
    idle_limit: Micros,
    /// A connection rests for so long after an answer. Against a second copy or noise that comes a moment
    /// behind a good answer: it must be seen before the next request is written, or it would be read as its
    /// answer.
    rest: Micros,
    deployment: Arc<Deployment>,
    memory: Memory,
    hub: mpsc::Sender<Input>,
}

impl Pool {
    /// A pool of at most so many connections, in places of a table that others use too.
    pub fn new(
        (limit, table): (usize, Arc<Semaphore>),
        deployment: Arc<Deployment>,
        servers: &Servers,
        memory: Memory,
        hub: mpsc::Sender<Input>,
    ) -> Self {
        let rest = servers.rest.as_micros() as Micros;
        // Well before the server closes it: a request written to a closed connection ends as a reset, which
        // may have run and so may not be sent again.
        let idle_limit = deployment.idle_close / 2;
        let (conns, idle) = (HashMap::new(), HashMap::new());
        Pool { conns, idle, next: 1, limit, table, idle_limit, rest, deployment, memory, hub }
    }

    /// An idle connection to a server for an attempt, if there is one.
    pub fn reuse(&mut self, server: ServerId, attempt: AttemptKey, now: Micros) -> Option<ConnId> {
        loop {
            let idle = self.idle.get_mut(&server)?;
            // In the order in which they became idle: the one used last among those that have rested.
            let (conns, rest) = (&self.conns, self.rest);
            let rested =
                |id: &ConnId| conns.get(id).is_none_or(|conn| conn.idle_since + rest <= now || !conn.up());
            let id = idle.iter().rposition(rested).map(|at| idle.remove(at))?;
            match self.conns.get_mut(&id) {
                Some(conn) if now < conn.idle_since + self.idle_limit && conn.up() => {
                    conn.attempt = Some(attempt);
                    return Some(id);
                }
                _ => drop(self.conns.remove(&id)),
            }
        }
    }

    /// Begins to open a connection for an attempt; `false` where the table is full.
    pub fn open(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        backend: &dyn Backend,
        attempt: AttemptKey,
    ) -> Option<ConnId> {
        if self.conns.len() >= self.limit || self.table.available_permits() == 0 {
            self.drop_one_idle();
        }
        if self.conns.len() >= self.limit {
            return None;
        }
        let _place = self.table.clone().try_acquire_owned().ok()?;
        let id = self.next;
        self.next += 1;
        let (jobs, take) = mpsc::channel(1);
        let (hub, deployment, memory) = (self.hub.clone(), self.deployment.clone(), self.memory.clone());
        let life = backend.connect(Seat { id, address, deployment, memory, jobs: take, hub });
        let hub = self.hub.clone();
        let task = tokio::spawn(async move {
            let news = life.await;
            let _ = hub.send(Input::Conn(id, news)).await;
        });
        let task = task.abort_handle();
        let conn =
            Conn { server, address, jobs, task, attempt: Some(attempt), idle_since: 0, carried: 0, _place };
        self.conns.insert(id, conn);
        Some(id)
    }

    /// The attempt that a connection was opened for or carries; `None` also where it was given up.
    pub fn attempt(&self, id: ConnId) -> Option<AttemptKey> {
        self.conns.get(&id)?.attempt
    }

    /// How many requests a connection has been given.
    pub fn carried(&self, id: ConnId) -> u64 {
        self.conns.get(&id).map_or(0, |conn| conn.carried)
    }

    /// Hands a request to a connection that is up; `false` if it is lost already.
    pub fn start(&mut self, id: ConnId, request: Job) -> bool {
        let Some(conn) = self.conns.get_mut(&id) else { return false };
        conn.carried += 1;
        conn.jobs.try_send(request).is_ok()
    }

    /// A connection owes nothing any more and may be used again.
    pub fn release(&mut self, id: ConnId, address: Option<SocketAddr>, now: Micros) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if address != Some(conn.address) {
            // The server is gone from the list or lives elsewhere now.
            return self.close(id);
        }
        (conn.attempt, conn.idle_since) = (None, now);
        self.idle.entry(conn.server).or_default().push(id);
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id)
            && let Some(idle) = self.idle.get_mut(&conn.server)
        {
            idle.retain(|other| *other != id);
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerId) {
        for id in self.idle.remove(&server).unwrap_or_default() {
            self.conns.remove(&id);
        }
    }

    /// Closes what has been idle for long.
    pub fn sweep(&mut self, now: Micros) {
        let (conns, limit) = (&mut self.conns, self.idle_limit);
        self.idle.retain(|_, ids| {
            ids.retain(|id| {
                let keep = conns.get(id).is_some_and(|conn| now < conn.idle_since + limit);
                if !keep {
                    conns.remove(id);
                }
                keep
            });
            !ids.is_empty()
        });
    }

    /// Closes the connection that has been idle for longest.
    pub fn drop_one_idle(&mut self) {
        let oldest = self.idle.values().filter_map(|ids| ids.first());
        let oldest = oldest.min_by_key(|id| self.conns.get(id).map_or(0, |conn| conn.idle_since)).copied();
        oldest.into_iter().for_each(|id| self.close(id));
    }
}
