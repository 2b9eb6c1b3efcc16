//! Fixtures for the tests of the core.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use stonevane_codec::resp;
use stonevane_config::operator;
use stonevane_core::{Core, CoreConfig, Endpoint, EndpointList, Input};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{RequestClass, Settings, Tenant};

/// Time at which the tests start, in Unix microseconds.
pub const START: u64 = 1_790_000_000_000_000;

/// A core with one cache and an origin.
pub fn core(store: bool, sockets: usize, rest: Duration) -> Core {
    core_with(store, sockets, rest, |_| {})
}

/// A core as from [`core`], with adjusted settings.
pub fn core_with(store: bool, sockets: usize, rest: Duration, adjust: impl FnOnce(&mut Deployment)) -> Core {
    core_seeded(1, store, sockets, rest, adjust)
}

/// A core as from [`core`], with adjusted settings and the given random seed.
pub fn core_seeded(
    seed: u64,
    store: bool,
    sockets: usize,
    rest: Duration,
    adjust: impl FnOnce(&mut Deployment),
) -> Core {
    Core::new(START, CoreConfig { seed, ..config_with(store, sockets, rest, adjust) })
}

/// The configuration of the core that [`core_with`] returns.
pub fn config_with(
    store: bool,
    sockets: usize,
    rest: Duration,
    adjust: impl FnOnce(&mut Deployment),
) -> CoreConfig {
    let names = |name: &str| vec![name.to_owned()];
    let class = RequestClass { latency_objective: 1_000_000, deadline: 2_000_000, ..RequestClass::default() };
    let settings = Settings {
        classes: vec![class],
        tenants: vec![Tenant { quota_per_s: 1e6 }],
        origin_kind: Some(1),
        max_attempts: 3,
        tick: 1_000,
        ..Settings::default()
    };
    let mut deployment = Deployment {
        settings,
        classes: names("read"),
        tenants: names("all"),
        zones: names("a"),
        machine_types: vec!["cache".into(), "origin".into()],
        connect_timeout: 100_000,
        idle_timeout: 10_000_000,
        max_open: 1_024,
        load_metric_names: Vec::new(),
    };
    adjust(&mut deployment);
    let endpoint = |name: &str, port: u16| Endpoint {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)).to_string(),
        zone: "a".into(),
        kind: name.into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since_ms: 0,
    };
    CoreConfig {
        deployment,
        seed: 1,
        max_sockets: sockets,
        memory_mb: 64,
        cached_list: EndpointList {
            version: 1,
            snapshot: true,
            endpoints: vec![endpoint("cache", 1), endpoint("origin", 2)],
        },
        discovery: SocketAddr::from(([127, 0, 0, 1], 3)),
        clients: operator::Clients::default(),
        servers: operator::Servers { rest },
        has_store: store,
        notifies_caches: store,
        other_sockets: 0,
        can_be_replaced: false,
        excluded: Vec::new(),
        regions: None,
    }
}

/// A cache's reply to a read.
pub const HIT: &[u8] = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$0\r\n\r\n";

/// A client's read command.
pub fn get(key: &str, id: &str) -> Bytes {
    resp::encode_command(&[b"OBJ.GET", key.as_bytes(), id.as_bytes(), b"c=read,t=all,d=900"])
}

/// A core with its clock and everything around it.
pub trait CoreHarness {
    fn core(&self) -> &Core;

    /// The clock, in Unix microseconds.
    fn now_mut(&mut self) -> &mut u64;

    /// Feeds an input and performs the outputs.
    fn feed(&mut self, input: Input<'_>);

    /// Advances the time by `time` microseconds: timers fire.
    fn advance(&mut self, time: u64) {
        let end = *self.now_mut() + time;
        while let Some(due) = self.core().next_timeout().filter(|due| *due <= end) {
            let now = self.now_mut();
            *now = due.max(*now);
            self.feed(Input::Wake);
        }
        *self.now_mut() = end;
    }
}
