use super::*;

use std::io::{Read, Write};
use std::time::Duration;

use stonevane_codec::resp::encode_command;
use stonevane_config::operator;
use stonevane_core::{CoreConfig, Endpoint, EndpointList};
use stonevane_policy::settings::Deployment;
use stonevane_policy::{RequestClass, Settings, Tenant};

fn core(clock: Clock) -> Core {
    core_with(clock, EndpointList::default())
}

fn core_with(clock: Clock, cached_list: EndpointList) -> Core {
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
        cached_list,
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

/// A list of one cache server.
fn list_of_cache(address: SocketAddr) -> EndpointList {
    let endpoint = Endpoint {
        name: "s-1".into(),
        address: address.to_string(),
        zone: "a".into(),
        kind: "cache".into(),
        group: 0,
        status: "active".into(),
        weight: 1.0,
        since_ms: 0,
    };
    EndpointList { version: 1, snapshot: true, endpoints: vec![endpoint] }
}

/// A cache server whose single steps are made by the test.
struct CacheStub {
    listener: std::net::TcpListener,
    connections: Vec<std::net::TcpStream>,
}

impl CacheStub {
    fn start() -> CacheStub {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        CacheStub { listener, connections: Vec::new() }
    }

    /// Answers every request that has arrived with the value.
    fn answer_requests(&mut self, value: &str) {
        while let Ok((connection, _)) = self.listener.accept() {
            connection.set_nonblocking(true).unwrap();
            self.connections.push(connection);
        }
        for connection in &mut self.connections {
            if connection.read(&mut [0; 4_096]).is_ok_and(|count| count > 0) {
                connection.set_nonblocking(false).unwrap();
                connection.write_all(&cache_reply(value)).unwrap();
                connection.set_nonblocking(true).unwrap();
            }
        }
    }
}

fn cache_reply(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$0\r\n\r\n", value.len()).into_bytes()
}

/// Lets the runtime and the cache run until the client has received an answer.
async fn next_answer(client: &mut std::net::TcpStream, cache: &mut CacheStub, value: &str) -> String {
    let mut answer = [0; 256];
    loop {
        cache.answer_requests(value);
        if let Ok(count) = client.read(&mut answer) {
            return String::from_utf8_lossy(&answer[..count]).into_owned();
        }
        tokio::task::yield_now().await;
    }
}

/// Guards against a second copy of an answer that arrives during a long turn and is taken for the answer to
/// the command that is written next in the same turn (`review/7`).
#[test]
fn bytes_that_arrived_before_a_command_was_written_are_not_its_answer() {
    let clock = Clock::start();
    let last_poll = PollTime::default();
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    last_poll.record(&mut runtime, clock);
    runtime.enable_all().build().unwrap().block_on(async {
        let mut cache = CacheStub::start();
        let core = core_with(clock, list_of_cache(cache.listener.local_addr().unwrap()));
        let driver = Driver::new(core, clock, last_poll, Exclusions::new(None), None, None);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_nonblocking(true).unwrap();
        let accepting = tokio::spawn(driver.clone().accept_clients(listener));
        driver.input(Input::Wake);
        let command = |id: &[u8]| encode_command(&[b"OBJ.GET", id, id, b"c=read,t=all,d=900"]);
        client.write_all(&command(b"0001")).unwrap();
        assert_eq!(next_answer(&mut client, &mut cache, "first").await, "$5\r\nfirst\r\n");
        let client_id = *driver.lock().connections.keys().min().unwrap();
        // From here to the next command the runtime does not look at any socket.
        cache.connections[0].write_all(&cache_reply("first")).unwrap();
        std::thread::sleep(operator::Servers::default().rest);
        driver.input(Input::Bytes(client_id, &command(b"0002")));
        assert_eq!(next_answer(&mut client, &mut cache, "second").await, "$6\r\nsecond\r\n");
        accepting.abort();
    });
}

#[test]
fn an_idle_client_sees_the_close_in_the_same_turn_that_decides_it() {
    // Guards against clients that write to a connection whose close is deferred to the runtime's next turn.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let driver = Driver::new(core(clock), clock, PollTime::default(), Exclusions::new(None), None, None);
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
        let driver = Driver::new(core(clock), clock, PollTime::default(), Exclusions::new(None), None, None);
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

/// Guards against answers that are cut off by a close: the kernel has taken them, and the client has not received
/// them (`review/10`).
#[test]
fn a_client_that_still_reads_an_answer_is_neither_closed_nor_cut_off_by_a_drain() {
    const VALUE_BYTES: usize = 300_000;
    const RECEIVE_BUFFER_BYTES: usize = 4_096;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = Clock::start();
        let mut cache = CacheStub::start();
        let core = core_with(clock, list_of_cache(cache.listener.local_addr().unwrap()));
        let driver = Driver::new(core, clock, PollTime::default(), Exclusions::new(None), None, None);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(&listener.local_addr().unwrap().into()).unwrap();
        let mut client = std::net::TcpStream::from(socket);
        client.set_nonblocking(true).unwrap();
        let accepting = tokio::spawn(driver.clone().accept_clients(listener));
        driver.input(Input::Wake);
        let command = |id: &[u8]| encode_command(&[b"OBJ.GET", id, id, b"c=read,t=all,d=900"]);
        client.write_all(&command(b"0001")).unwrap();
        let value = "z".repeat(VALUE_BYTES);
        let head = format!("${VALUE_BYTES}\r\n");
        let mut received = next_answer(&mut client, &mut cache, &value).await;
        while driver.lock().core.resource_counts().unanswered > 0 {
            tokio::task::yield_now().await;
        }
        let client_id = *driver.lock().connections.keys().min().unwrap();
        driver.input(Input::Terminate);
        std::thread::sleep(Duration::from_millis(600));
        driver.input(Input::Wake);
        assert!(driver.lock().connections.contains_key(&client_id), "closed while the client still reads");
        // The client sends a further command while it reads.
        client.write_all(&command(b"0002")).unwrap();
        let mut buffer = vec![0; 65_536];
        loop {
            cache.answer_requests("second");
            match client.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => received.push_str(&String::from_utf8_lossy(&buffer[..count])),
                Err(error) => assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock, "{error}"),
            }
            driver.input(Input::Wake);
            tokio::task::yield_now().await;
        }
        let expected = format!("{head}{value}\r\n$6\r\nsecond\r\n");
        assert_eq!(received.len(), expected.len());
        assert!(received == expected, "the client has both answers");
        accepting.abort();
    });
}
