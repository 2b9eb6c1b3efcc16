//! PostgreSQL as the store of record, tested against the emulator: its operations, and its behavior under
//! faults.
#![allow(missing_docs)]

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use stonevane_emulators::postgres::{PgFault, Postgres as Server};
use stonevane_store::postgres::Options;
use stonevane_store::{Change, Edit, Postgres, Receipt, Store, StoreError};
use tokio::time::{Instant, timeout};

async fn server() -> Arc<Server> {
    Server::start(IpAddr::V4(Ipv4Addr::LOCALHOST)).await.unwrap()
}

fn node(server: &Server) -> Postgres {
    let options = Options { statement_timeout: Duration::from_millis(300), ..Options::default() };
    Postgres::new(&server.url(), options).unwrap()
}

fn edit(key: &str, value: &str, token: Option<&str>) -> Edit {
    Edit { key: key.into(), value: value.into(), token: token.map(Into::into), remember_ms: 60_000 }
}

async fn value(node: &Postgres, key: &str) -> Result<Option<(Vec<u8>, u64)>, StoreError> {
    Ok(node.get(key).await?.map(|zone| (zone.value, zone.version)))
}

#[tokio::test]
async fn edits_are_readable_a_repeat_returns_the_first_receipt_and_changes_are_in_order() {
    let server = server().await;
    let (one, other) = (node(&server), node(&server));
    assert_eq!(value(&one, "a").await, Ok(None));
    let first = Receipt { version: 1, repeat: false };
    assert_eq!(one.edit(edit("a", "one", Some("t"))).await, Ok(first));
    assert_eq!(
        other.edit(edit("a", "one", Some("t"))).await,
        Ok(Receipt { repeat: true, ..first }),
        "a repeat on another node"
    );
    assert_eq!(other.edit(edit("a", "two", Some("t"))).await, Err(StoreError::Conflict));
    assert_eq!(other.edit(edit("b", "\u{0}\u{ff}", None)).await, Ok(Receipt { version: 2, repeat: false }));
    assert_eq!(one.edit(edit("a", "three", None)).await.unwrap().version, 3);
    assert_eq!(value(&other, "a").await, Ok(Some((b"three".to_vec(), 3))));
    assert_eq!(value(&one, "b").await.unwrap().unwrap().0, "\u{0}\u{ff}".as_bytes());
    let change = |key: &str, version| Change { key: key.into(), version };
    assert_eq!(one.changes(1, 10).await, Ok(vec![change("b", 2), change("a", 3)]));
    assert_eq!(one.changes(0, 1).await, Ok(vec![change("b", 2)]));
    assert!(matches!(one.get("").await, Err(StoreError::Bounds(_))));
}

#[tokio::test]
async fn nodes_that_start_together_migrate_once_and_a_newer_schema_is_rejected() {
    let server = server().await;
    let nodes: Vec<_> = (0..6).map(|_| Arc::new(node(&server))).collect();
    let mut calls = tokio::task::JoinSet::new();
    for node in nodes {
        calls.spawn(async move { value(&node, "a").await });
    }
    while let Some(result) = calls.join_next().await {
        assert_eq!(result.unwrap(), Ok(None));
    }
    let fresh = node(&server);
    fresh.edit(edit("a", "one", None)).await.unwrap();
    let other = tokio_postgres::connect(&server.url(), tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(other.1);
    other.0.batch_execute("BEGIN; UPDATE stonevane SET form = 99 WHERE id = 1; COMMIT").await.unwrap();
    let newer = value(&node(&server), "a").await;
    assert_eq!(newer, Err(StoreError::Newer { found: 99, known: 1 }));
}

#[tokio::test]
async fn an_edit_whose_commit_answer_is_lost_is_applied_once_and_its_repeat_returns_the_receipt() {
    let server = server().await;
    let (one, other) = (node(&server), node(&server));
    one.edit(edit("a", "zero", None)).await.unwrap();
    // After COMMIT the connection closes, or the server stops answering.
    for (fault, version) in [(PgFault::CommitLost, 2), (PgFault::CommitSilent, 3)] {
        let token = format!("t{version}");
        server.set_fault(fault);
        let lost = timeout(Duration::from_secs(10), one.edit(edit("a", "one", Some(&token)))).await;
        let lost = lost.expect("the edit ends within 10 s").unwrap_err();
        assert!(!lost.is_certainly_not_applied(), "the edit was applied: {lost}");
        server.set_fault(PgFault::None);
        let receipt = other.edit(edit("a", "one", Some(&token))).await;
        assert_eq!(receipt, Ok(Receipt { version, repeat: true }));
        assert_eq!(value(&one, "a").await, Ok(Some((b"one".to_vec(), version))));
    }
}

#[tokio::test]
async fn an_edit_that_fails_before_commit_is_not_applied() {
    let server = server().await;
    let node = node(&server);
    node.edit(edit("a", "one", None)).await.unwrap();
    for (fault, wanted) in [
        (PgFault::Serialization, StoreError::Busy),
        (PgFault::Slow(2_000), StoreError::Busy),
        (PgFault::Shutdown, StoreError::Unreachable),
        (PgFault::Refuse, StoreError::Unreachable),
    ] {
        server.set_fault(fault);
        let failed = timeout(Duration::from_secs(5), node.edit(edit("a", "two", Some("t")))).await;
        let failed = failed.expect("the edit ends within 5 s").unwrap_err();
        assert_eq!((&failed, failed.is_certainly_not_applied()), (&wanted, true), "{fault:?}");
        server.set_fault(PgFault::None);
        let again = async {
            while value(&node, "a").await.is_err() {}
            value(&node, "a").await
        };
        let found = timeout(Duration::from_secs(5), again).await.expect("the store answers again within 5 s");
        assert_eq!(found, Ok(Some((b"one".to_vec(), 1))), "{fault:?}");
    }
    server.set_fault(PgFault::MidRow);
    let torn = value(&node, "a").await.unwrap_err();
    assert!(torn.is_unresponsive(), "{torn}");
    server.set_fault(PgFault::TooMany);
    assert_eq!(
        value(&node, "a").await,
        Err(StoreError::Unreachable),
        "the server accepts no more connections"
    );
}

#[tokio::test]
async fn concurrent_edits_of_one_key_on_two_nodes_are_serialized() {
    let server = server().await;
    let nodes = [Arc::new(node(&server)), Arc::new(node(&server))];
    nodes[0].edit(edit("a", "start", None)).await.unwrap();
    let mut edits = tokio::task::JoinSet::new();
    for n in 0..40 {
        let node = nodes[n % 2].clone();
        edits.spawn(async move {
            let value = format!("v{n}");
            (node.edit(edit("a", &value, Some(&format!("t{}", n / 2)))).await, value)
        });
    }
    let (mut versions, mut last) = (Vec::new(), (0, String::new()));
    while let Some(done) = edits.join_next().await {
        // Each idempotency key is used for two values, of which the first to arrive is applied.
        if let (Ok(receipt), value) = done.unwrap() {
            assert!(!receipt.repeat);
            versions.push(receipt.version);
            last = last.max((receipt.version, value));
        }
    }
    versions.sort_unstable();
    assert_eq!(
        versions,
        (2..22).collect::<Vec<_>>(),
        "twenty idempotency keys, twenty versions, no duplicates"
    );
    assert_eq!(value(&nodes[0], "a").await, Ok(Some((last.1.into_bytes(), 21))));
}

#[tokio::test]
async fn a_replica_that_lags_behind_a_receipt_is_not_read() {
    let server = server().await;
    let node = node(&server);
    node.edit(edit("a", "old", None)).await.unwrap();
    server.copy().unwrap();
    node.edit(edit("a", "new", None)).await.unwrap();
    assert_eq!(value(&node, "a").await, Ok(Some((b"new".to_vec(), 2))));
    server.fail_over().unwrap();
    server.set_fault(PgFault::None);
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let found = value(&node, "a").await;
        assert!(found.is_err(), "a value older than the node's own receipt: {found:?}");
        if found == Err(StoreError::Behind) {
            break;
        }
        assert!(Instant::now() < end, "no `Behind` error within 5 s: {found:?}");
    }
}

#[tokio::test]
async fn connections_lost_together_do_not_reconnect_in_a_storm() {
    let server = server().await;
    let node =
        Arc::new(Postgres::new(&server.url(), Options { connections: 16, ..Options::default() }).unwrap());
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..16 {
        let node = node.clone();
        calls.spawn(async move { value(&node, "a").await });
    }
    while let Some(result) = calls.join_next().await {
        result.unwrap().unwrap();
    }
    server.set_fault(PgFault::Shutdown);
    let before = server.counts().connections;
    let end = Instant::now() + Duration::from_millis(600);
    for _ in 0..16 {
        let node = node.clone();
        calls.spawn(async move {
            while Instant::now() < end {
                let _ = timeout(Duration::from_millis(50), value(&node, "a")).await;
            }
            Ok(None)
        });
    }
    while calls.join_next().await.is_some() {}
    let attempts = server.counts().connections - before;
    assert!((1..=12).contains(&attempts), "{attempts} attempts to connect in 600 ms from 16 callers");
    server.set_fault(PgFault::None);
    let found = timeout(Duration::from_secs(2), async { while value(&node, "a").await.is_err() {} }).await;
    assert!(found.is_ok(), "the store answers again within two seconds");
}

#[tokio::test]
async fn an_abandoned_call_is_cancelled_at_the_server_and_its_connection_is_not_reused() {
    let server = server().await;
    let node = node(&server);
    node.edit(edit("a", "one", None)).await.unwrap();
    let before = server.counts();
    server.set_fault(PgFault::Slow(10_000));
    assert!(timeout(Duration::from_millis(50), node.get("a")).await.is_err());
    let end = Instant::now() + Duration::from_secs(5);
    while server.counts().cancels == before.cancels {
        assert!(Instant::now() < end, "no cancel request arrived");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    server.set_fault(PgFault::None);
    assert_eq!(value(&node, "a").await, Ok(Some((b"one".to_vec(), 1))));
    assert!(
        server.counts().connections > before.connections + 1,
        "one connection for the cancel request, and one for the next call"
    );
}

#[tokio::test]
async fn a_subscriber_receives_each_changed_key_after_lost_notifications_and_connections() {
    let server = server().await;
    let (one, other) = (node(&server), node(&server));
    other.edit(edit("before", "it", None)).await.unwrap();
    let mut changes = one.follow().unwrap();
    let change = |key: &str, version| Change { key: key.into(), version };
    let mut next_change = async || {
        timeout(Duration::from_secs(10), changes.recv()).await.expect("a change within 10 s").unwrap()
    };
    // The subscription is established once a change arrives; earlier changes may be left out.
    let mut version = 1;
    loop {
        version += 1;
        other.edit(edit("subscribed", &version.to_string(), None)).await.unwrap();
        tokio::select! {
            received = next_change() => break assert_eq!(received.key, "subscribed"),
            () = tokio::time::sleep(Duration::from_millis(50)) => {}
        }
    }
    other.edit(edit("with a space", "a", None)).await.unwrap();
    let received = loop {
        let received = next_change().await;
        if received.key != "subscribed" {
            break received;
        }
    };
    assert_eq!(received, change("with a space", version + 1));
    // The subscriber's connection is lost. Meanwhile two keys change, one of them twice.
    server.set_fault(PgFault::Refuse);
    let change_silently = |key: &str| {
        let next_version = server
            .query_column("UPDATE counter SET version = version + 1 WHERE id = 1 RETURNING version")
            .unwrap();
        let rusqlite::types::Value::Integer(version) = next_version[0] else { panic!("{next_version:?}") };
        let row = format!("VALUES ('{key}', CAST('x' AS BLOB), {version}, 0)");
        let update = "ON CONFLICT (key) DO UPDATE SET version = excluded.version RETURNING version";
        server
            .query_column(&format!("INSERT INTO zones (key, value, version, edited_at) {row} {update}"))
            .unwrap();
    };
    for key in ["b", "c", "b"] {
        change_silently(key);
    }
    server.set_fault(PgFault::None);
    assert_eq!(
        (next_change().await, next_change().await),
        (change("c", version + 3), change("b", version + 4))
    );
    // A change without any notification.
    change_silently("d");
    assert_eq!(next_change().await, change("d", version + 5));
    drop(changes);
}
