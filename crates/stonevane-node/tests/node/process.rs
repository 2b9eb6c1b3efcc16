//! The node process: configuration, reload on SIGHUP, and drain on SIGTERM.

use std::net::TcpListener;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Duration;

use crate::harness::*;
use crate::{cache_and_origin, failing_origin, quiet_discovery};

#[test]
fn sighup_changes_the_discovery_address_and_an_unusable_file_changes_nothing() {
    let caches = ["first", "second", "third"].map(|name| cache(move |_| Action::Respond(hit(name))));
    let origin = failing_origin();
    let list = |index, server: &EmulatedServer| {
        let entries =
            [entry("s-1", server.address, "std", "active"), entry("o-1", origin.address, "origin", "active")];
        server_list(index, true, &entries)
    };
    let (old, _say_old, _) = quiet_discovery();
    let node = Node::start(old, &list(500, &caches[0]));
    let mut client = node.client();
    assert_eq!(client.request(&get("aa", "1")).unwrap(), "first");
    let mut kept = Vec::new();
    for (at, index) in [(1, 3), (2, 2)] {
        let (next, updates, calls) = quiet_discovery();
        node.reload(Ok(next));
        let call = calls.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(
            call, "GET /v1/servers?watch=1 HTTP/1.1",
            "versions of the old discovery do not carry over"
        );
        updates.send(chunk(&list(index, &caches[at]))).unwrap();
        let name = ["first", "second", "third"][at];
        assert!(
            (0..100_000).any(|_| client.request(&get("aa", "2")).unwrap() == name),
            "the new list never took effect"
        );
        kept.push((updates, calls));
        node.reload(Err("{"));
        let logged = std::iter::from_fn(|| node.log.recv_timeout(TEST_TIMEOUT).ok());
        assert!(logged.into_iter().any(|line| line.contains("the old configuration stays in force")));
        assert_eq!(client.request(&get("aa", "3")).unwrap(), name);
    }
}

#[test]
fn on_sigterm_the_node_still_accepts_for_a_while_finishes_its_requests_and_exits_with_0() {
    let (release, released) = channel();
    let released = Arc::new(Mutex::new(Some(released)));
    let cache = cache(move |words| match words[1].as_str() {
        "ee" => Action::RespondAfter(released.lock().unwrap().take().unwrap(), hit("slow")),
        key => Action::Respond(hit(key)),
    });
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let mut node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    let mut idle = node.client();
    assert_eq!(idle.request(&command(&["PING"])).unwrap(), "+PONG");
    client.send(&get("ee", "1"));
    cache.next_request();
    node.terminate();
    assert_eq!(node.client().request(&get("aa", "2")).unwrap(), "aa", "a new connection is still accepted");
    assert_eq!(idle.read_response(), None, "an idle connection is closed");
    release.send(()).unwrap();
    assert_eq!(client.read_response().unwrap(), "slow", "an accepted request is finished");
    assert_eq!(client.read_response(), None);
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn on_sigterm_the_last_response_is_written_completely_before_the_node_exits() {
    // Guards against a node that counts one client too few and exits before the response to the last client
    // is written. Overlapping faults in the lab caused this.
    let long = "v".repeat(400_000);
    let value = long.clone();
    let cache = cache(move |_| Action::Respond(hit(&value)));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let mut node = Node::start(discovery, &cache_and_origin(cache.address, origin.address));
    let mut client = node.client();
    // More requests than the buffers of both ends hold responses for.
    for id in 1..=24 {
        client.send(&get("aa", &id.to_string()));
    }
    cache.next_request();
    node.terminate();
    while std::net::TcpStream::connect(node.address).is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    // The node no longer accepts connections. During this pause it checks many times whether it may exit.
    std::thread::sleep(std::time::Duration::from_millis(200));
    for id in 1..=24 {
        let answer = client.read_response();
        assert!(answer.is_some_and(|answer| answer == long || answer.starts_with('-')), "{id}");
    }
    assert_eq!(node.wait().code(), Some(0));
}

#[test]
fn a_bad_configuration_ends_with_one_error_line_and_exit_code_2() {
    let (listener, address) = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        (listener, address)
    };
    let valid = |listen: &str| {
        format!(r#"{{"listen":"{listen}","discovery":"{address}","seed":"1","settings":{}}}"#, settings())
    };
    let taken = valid(&address.to_string());
    let texts = ["{", "{}", r#"{"settings":{"classes":3}}"#, &valid("nowhere"), &taken];
    for text in texts.into_iter().map(Some).chain([None]) {
        let mut run = Command::new(env!("CARGO_BIN_EXE_stonevane-node"));
        run.env_remove("ROUTER_CONFIG").env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
        let path = text.map(config_file);
        if let Some(path) = &path {
            run.env("ROUTER_CONFIG", path);
        }
        let output = run.output().unwrap();
        if let Some(path) = &path {
            std::fs::remove_file(path).unwrap();
        }
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), stderr.lines().count()), (Some(2), 1), "{text:?}: {stderr}");
        assert!(!stderr.contains("panicked"), "{stderr}");
    }
    drop(listener);
}

#[test]
fn a_bad_operator_file_ends_with_one_error_line_per_fault_and_exit_code_2() {
    let path = config_file("[clients]\nidel_ms = 5\nfirst_ms = 0\n");
    let mut run = Command::new(env!("CARGO_BIN_EXE_stonevane-node"));
    let run = run.arg("--operator").arg(&path).env_remove("ROUTER_CONFIG").output().unwrap();
    let _ = std::fs::remove_file(&path);
    let stderr = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!((run.status.code(), stderr.lines().count()), (Some(2), 2), "{stderr}");
    assert!(stderr.contains("line 2, column 1: unknown key `idel_ms`"), "{stderr}");
    let mut run = Command::new(env!("CARGO_BIN_EXE_stonevane-node"));
    let run = run.args(["--operator", "/no/such/file"]).output().unwrap();
    assert_eq!((run.status.code(), run.stderr.iter().filter(|b| **b == b'\n').count()), (Some(2), 1));
}

#[test]
fn values_of_the_operator_file_take_effect() {
    let cache = cache(|words| Action::Respond(hit(&words[1])));
    let origin = failing_origin();
    let (discovery, _updates, _calls) = quiet_discovery();
    let path = config_file("[clients]\nspare_ms = 50\nidle_ms = 100\n");
    let shell_prefix = format!("set -- --operator {};", path.display());
    let node = Node::start_with_shell_prefix(
        discovery,
        &cache_and_origin(cache.address, origin.address),
        256,
        &shell_prefix,
    );
    let mut client = node.client();
    assert_eq!(client.request(&get("aa", "1")).unwrap(), "aa");
    let begun = std::time::Instant::now();
    assert_eq!(client.read_response(), None, "closed when idle");
    assert!(begun.elapsed() < Duration::from_secs(10), "long before the default of 15 s");
    let _ = std::fs::remove_file(&path);
}
