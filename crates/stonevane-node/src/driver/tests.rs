use super::*;

use std::io::{Read, Write};
use std::time::Duration;

use stonevane_codec::resp::encode_command;
use stonevane_config::operator;
use stonevane_core::{CoreConfig, EndpointList};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{RequestClass, Settings, Tenant};

fn core(clock: Clock) -> Core {
    let list = |name: &str| vec![name.to_owned()];
    let settings = Settings {
        classes: vec![RequestClass::default()],
        tenants: vec![Tenant { quota_per_s: 1e3 }],
        ..Settings::default()
    };
    let deployment = Deployment {
        settings,
        classes: list("read"),
        tenants: list("all"),
        zones: list("a"),
        machine_types: list("cache"),
        connect_timeout: 100_000,
        idle_timeout: 10_000_000,
        max_open: 100,
        load_metric_names: Vec::new(),
    };
    let config = CoreConfig {
        deployment,
        seed: 1,
        max_sockets: 64,
        memory_mb: 16,
        cached_list: EndpointList::default(),
        discovery: SocketAddr::from(([127, 0, 0, 1], 9)),
        clients: operator::Clients::default(),
        servers: operator::Servers::default(),
        has_store: false,
        notifies_caches: false,
        other_sockets: 0,
        can_be_replaced: false,
        excluded: Vec::new(),
        regions: None,
    };
    Core::new(clock.now(), config)
}

#[test]
fn an_idle_client_sees_the_close_in_the_same_turn_that_decides_it() {
    // Guards against clients that write to a connection whose close is deferred to the runtime's next turn.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let driver = Driver::new(core(clock), clock, Exclusions::new(None), None, None);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let accepting = tokio::spawn(driver.clone().accept_clients(listener));
        driver.input(Input::Wake);
        while driver.handover_status().used.connections == 0 {
            tokio::task::yield_now().await;
        }
        driver.input(Input::Terminate);
        // From here on the runtime runs no task.
        std::thread::sleep(Duration::from_millis(600));
        driver.input(Input::Wake);
        assert_eq!(driver.handover_status().used.connections, 0, "the connection is closed");
        client.set_nonblocking(true).unwrap();
        assert_eq!(
            client.read(&mut [0]).map_err(|e| e.kind()),
            Ok(0),
            "the client sees the end of the stream"
        );
        accepting.abort();
    });
}

/// Guards against a connection with much input that keeps the other connections from their turn (`review/3`).
#[test]
fn a_connection_with_much_input_is_read_once_a_turn() {
    const COMMANDS: usize = 1_000;
    let command = |number: usize| {
        let id = format!("{number:04}");
        encode_command(&[b"OBJ.GET", b"key", id.as_bytes(), b"c=read,t=all,d=900"])
    };
    // The first command of a read may have begun in the read before.
    let commands_of_a_read = 4_096 / command(0).len() + 1;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let driver = Driver::new(core(clock), clock, Exclusions::new(None), None, None);
        let taken = || {
            let state = driver.lock();
            state.core.class_counters().map(|(_, counts)| counts.accepted as usize).sum::<usize>()
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.write_all(&(0..COMMANDS).flat_map(command).collect::<Vec<u8>>()).unwrap();
        let accepting = tokio::spawn(driver.clone().accept_clients(listener));
        driver.input(Input::Wake);
        let mut taken_before = 0;
        while taken_before < COMMANDS {
            tokio::task::yield_now().await;
            let taken = taken();
            assert!(taken - taken_before <= commands_of_a_read, "{} in a turn", taken - taken_before);
            taken_before = taken;
        }
        accepting.abort();
    });
}
