//! SQLite as the store of record: its operations, and the failures that it must survive.
#![allow(missing_docs)]

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use rusqlite::Connection;
use stonevane_store::sqlite::{APPLICATION_ID, Options, SCHEMA_VERSION, check};
use stonevane_store::{Change, Edit, Receipt, Sqlite, StoreError};

/// A temporary folder, removed when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static FOLDERS: AtomicU32 = AtomicU32::new(0);
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("stonevane-store-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("zones.db")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(path: &Path) -> Sqlite {
    Sqlite::open(path, &Options::default()).unwrap()
}

fn edit(key: &str, value: &str, token: Option<&str>) -> Edit {
    Edit { key: key.into(), value: value.into(), token: token.map(Into::into), remember_ms: 60_000 }
}

#[tokio::test]
async fn edits_and_their_versions_persist_after_the_store_is_closed() {
    let folder = Folder::new();
    let store = open(&folder.file());
    assert_eq!(store.get("a").await, Ok(None));
    assert_eq!(store.edit(edit("a", "one", None)).await, Ok(Receipt { version: 1, repeat: false }));
    assert_eq!(store.edit(edit("b", "two", None)).await, Ok(Receipt { version: 2, repeat: false }));
    assert_eq!(store.edit(edit("a", "three", None)).await, Ok(Receipt { version: 3, repeat: false }));
    drop(store);
    let store = open(&folder.file());
    let zone = store.get("a").await.unwrap().unwrap();
    assert_eq!((zone.value.as_slice(), zone.version), (&b"three"[..], 3));
    let change = |key: &str, version| Change { key: key.into(), version };
    assert_eq!(store.changes(1, 10).await, Ok(vec![change("b", 2), change("a", 3)]));
    assert_eq!(store.changes(0, 1).await, Ok(vec![change("b", 2)]));
    let keys: Vec<_> = store.page("", 10).await.unwrap().into_iter().map(|zone| zone.key).collect();
    assert_eq!(keys, ["a", "b"]);
    drop(store);
    assert_eq!(check(&folder.file(), &Options::default()), Ok(2));
}

#[tokio::test]
async fn a_repeat_of_an_idempotency_key_returns_the_first_receipt_until_it_expires() {
    let folder = Folder::new();
    let store = open(&folder.file());
    let first = store.edit(edit("a", "one", Some("t"))).await.unwrap();
    store.edit(edit("a", "two", None)).await.unwrap();
    let again = store.edit(edit("a", "one", Some("t"))).await.unwrap();
    assert_eq!((again.version, again.repeat), (first.version, true));
    assert_eq!(store.get("a").await.unwrap().unwrap().value, b"two", "a repeat changes nothing");
    assert_eq!(store.edit(edit("a", "other", Some("t"))).await, Err(StoreError::Conflict));
    assert_eq!(store.edit(edit("b", "one", Some("t"))).await, Err(StoreError::Conflict));
    let short = Edit { remember_ms: 1, ..edit("c", "x", Some("s")) };
    let one = store.edit(short.clone()).await.unwrap();
    std::thread::sleep(Duration::from_millis(5));
    let two = store.edit(short).await.unwrap();
    assert!(!two.repeat && two.version > one.version, "the idempotency key has expired");
}

#[tokio::test]
async fn edits_that_share_a_transaction_succeed_or_fail_independently() {
    let folder = Folder::new();
    let options = Options { batch_delay: Duration::from_millis(30), ..Options::default() };
    let store = std::sync::Arc::new(Sqlite::open(&folder.file(), &options).unwrap());
    store.edit(edit("k", "v", Some("taken"))).await.unwrap();
    let mut all = tokio::task::JoinSet::new();
    for at in 0..40 {
        let store = store.clone();
        // One edit in four reuses an idempotency key and conflicts, which must not make the other edits fail.
        let token = if at % 4 == 0 { "taken".to_owned() } else { format!("t{at}") };
        all.spawn(async move { (at, store.edit(edit(&format!("k{at}"), "v", Some(&token))).await) });
    }
    let mut versions = Vec::new();
    while let Some(done) = all.join_next().await {
        match done.unwrap() {
            (at, Err(e)) => assert_eq!((at % 4, e), (0, StoreError::Conflict)),
            (at, Ok(receipt)) => {
                assert_ne!(at % 4, 0);
                versions.push(receipt.version);
            }
        }
    }
    versions.sort_unstable();
    assert_eq!(versions, (2..=31).collect::<Vec<_>>(), "consecutive versions, none used by a failed edit");
}

#[tokio::test]
async fn keys_and_values_past_their_bounds_are_rejected_without_effect() {
    let folder = Folder::new();
    let store = open(&folder.file());
    let long = "x".repeat(70_000);
    for bad in [edit("", "v", None), edit(&long, "v", None), edit("a\nb", "v", None), edit("a", &long, None)]
    {
        assert!(matches!(store.edit(bad).await, Err(StoreError::Bounds(_))));
    }
    assert!(matches!(store.edit(edit("a", "v", Some(""))).await, Err(StoreError::Bounds(_))));
    assert!(matches!(store.get(&long).await, Err(StoreError::Bounds(_))));
    assert!(matches!(
        store.import("s", 1, vec![("a".into(), vec![0; 70_000])]).await,
        Err(StoreError::Bounds(_))
    ));
    assert_eq!(store.changes(0, 10).await, Ok(vec![]));
}

#[tokio::test]
async fn an_import_and_its_progress_are_stored_together() {
    let folder = Folder::new();
    let store = open(&folder.file());
    assert_eq!(store.imported("s").await, Ok(0));
    store.import("s", 2, vec![("a".into(), b"1".to_vec()), ("b".into(), b"2".to_vec())]).await.unwrap();
    assert_eq!(store.imported("s").await, Ok(2));
    assert_eq!(store.page("", 10).await.unwrap().len(), 2);
}

#[tokio::test]
async fn a_full_disk_is_reported_and_existing_zones_remain_readable() {
    let folder = Folder::new();
    let options = Options { max_pages: 40, ..Options::default() };
    let store = Sqlite::open(&folder.file(), &options).unwrap();
    let big = "x".repeat(20_000);
    let mut done = 0;
    let full = loop {
        match store.edit(edit(&format!("k{done}"), &big, Some(&format!("t{done}")))).await {
            Ok(_) => done += 1,
            Err(e) => break e,
        }
        assert!(done < 100, "the limit of 160 KiB must be reached by now");
    };
    assert_eq!(full, StoreError::Full);
    assert!(full.is_certainly_not_applied() && done > 1);
    assert_eq!(store.get(&format!("k{done}")).await, Ok(None), "the failed edit was not applied");
    assert!(store.get("k0").await.unwrap().is_some(), "existing zones are still readable");
    drop(store);
    let reopened = open(&folder.file());
    let again = reopened.edit(edit(&format!("k{done}"), &big, Some(&format!("t{done}")))).await.unwrap();
    assert_eq!((again.version, again.repeat), (done + 1, false), "the repeat is applied once there is space");
}

#[tokio::test]
async fn edits_of_a_file_locked_by_another_process_fail_as_busy_and_reads_succeed() {
    let folder = Folder::new();
    let options = Options { busy_timeout: Duration::from_millis(20), ..Options::default() };
    let store = Sqlite::open(&folder.file(), &options).unwrap();
    store.edit(edit("a", "one", None)).await.unwrap();
    let other = Connection::open(folder.file()).unwrap();
    other.execute_batch("BEGIN IMMEDIATE").unwrap();
    assert_eq!(store.edit(edit("a", "two", None)).await, Err(StoreError::Busy));
    assert_eq!(store.get("a").await.unwrap().unwrap().value, b"one");
    other.execute_batch("ROLLBACK").unwrap();
    assert!(store.edit(edit("a", "two", None)).await.is_ok());
}

#[tokio::test]
async fn calls_beyond_the_queue_length_are_rejected_at_once() {
    let folder = Folder::new();
    let options = Options { queue: 1, busy_timeout: Duration::from_millis(300), ..Options::default() };
    let store = std::sync::Arc::new(Sqlite::open(&folder.file(), &options).unwrap());
    let other = Connection::open(folder.file()).unwrap();
    other.execute_batch("BEGIN IMMEDIATE").unwrap();
    let mut all = tokio::task::JoinSet::new();
    let started = std::time::Instant::now();
    for at in 0..200 {
        let store = store.clone();
        all.spawn(async move { store.edit(edit(&format!("k{at}"), "v", None)).await });
    }
    let first = all.join_next().await.unwrap().unwrap();
    assert_eq!(first, Err(StoreError::Busy));
    assert!(
        started.elapsed() < Duration::from_millis(250),
        "rejected only after {:?}, not before the wait for the lock",
        started.elapsed()
    );
    other.execute_batch("ROLLBACK").unwrap();
    while all.join_next().await.is_some() {}
}

#[test]
fn foreign_files_and_newer_schema_versions_are_rejected_and_not_modified() {
    let folder = Folder::new();
    let path = folder.file();
    let open_error = |path: &Path| {
        let before = std::fs::read(path).unwrap();
        let error = Sqlite::open(path, &Options::default()).err().unwrap();
        assert_eq!(std::fs::read(path).unwrap(), before, "the file is unchanged");
        assert_eq!(
            std::fs::read_dir(path.parent().unwrap()).unwrap().count(),
            1,
            "no file was created beside it"
        );
        assert_eq!(check(path, &Options::default()).err(), Some(error.clone()));
        error
    };
    std::fs::write(&path, "key,value\na,1\n").unwrap();
    assert_eq!(open_error(&path), StoreError::Foreign);
    std::fs::remove_file(&path).unwrap();
    let other = Connection::open(&path).unwrap();
    other.execute_batch("CREATE TABLE t (a); INSERT INTO t VALUES (1);").unwrap();
    drop(other);
    assert_eq!(open_error(&path), StoreError::Foreign);
    let newer = Connection::open(&path).unwrap();
    newer.pragma_update(None, "application_id", APPLICATION_ID).unwrap();
    newer.pragma_update(None, "user_version", SCHEMA_VERSION + 1).unwrap();
    drop(newer);
    assert_eq!(open_error(&path), StoreError::Newer { found: SCHEMA_VERSION + 1, known: SCHEMA_VERSION });
}

#[tokio::test]
async fn an_older_schema_version_is_migrated_with_its_contents() {
    let folder = Folder::new();
    drop(open(&folder.file()));
    let old = Connection::open(folder.file()).unwrap();
    old.execute_batch(
        "DROP INDEX zones_by_version; DROP INDEX edits_by_expiry; DROP TABLE imports;
         INSERT INTO zones VALUES ('a', x'31', 1, 0); UPDATE counter SET version = 1; PRAGMA user_version = 1;",
    )
    .unwrap();
    drop(old);
    let store = open(&folder.file());
    assert_eq!(store.get("a").await.unwrap().unwrap().value, b"1");
    assert_eq!(store.edit(edit("b", "2", None)).await.unwrap().version, 2);
    assert_eq!(store.imported("s").await, Ok(0));
}

#[tokio::test]
async fn a_damaged_file_is_reported_and_a_truncated_log_loses_only_its_last_edits() {
    let folder = Folder::new();
    let store = open(&folder.file());
    for at in 0..50 {
        store.edit(edit(&format!("k{at}"), &"v".repeat(2_000), None)).await.unwrap();
    }
    // A kill leaves the file and its write-ahead log as they are now.
    let copy = Folder::new();
    for name in ["zones.db", "zones.db-wal"] {
        std::fs::copy(folder.0.join(name), copy.0.join(name)).unwrap();
    }
    drop(store);
    let log = copy.0.join("zones.db-wal");
    let whole = std::fs::read(&log).unwrap();
    assert!(whole.len() > 10_000);
    let mut before = u64::MAX;
    for part in [whole.len(), whole.len() * 2 / 3, whole.len() / 3, 40, 0] {
        let cut = Folder::new();
        std::fs::copy(copy.0.join("zones.db"), cut.file()).unwrap();
        std::fs::write(cut.0.join("zones.db-wal"), &whole[..part]).unwrap();
        let zones = check(&cut.file(), &Options::default()).unwrap_or_else(|e| panic!("{part}: {e}"));
        assert!(zones <= before, "a shorter log has more zones: {zones} instead of {before}");
        before = zones;
        assert!(part < whole.len() || zones == 50, "the whole log must have all 50 zones: {zones}");
    }
    assert_eq!(before, 0, "without the log there are no zones");
    drop(open(&folder.file()));
    let mut bytes = std::fs::read(folder.file()).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle..middle + 8_000].fill(0xff);
    std::fs::write(folder.file(), &bytes).unwrap();
    assert!(matches!(check(&folder.file(), &Options::default()), Err(StoreError::Corrupt(_))));
    assert!(matches!(Sqlite::open(&folder.file(), &Options::default()).err(), Some(StoreError::Corrupt(_))));
}

#[tokio::test]
async fn a_closed_store_leaves_a_single_file() {
    let options = Options { readers: 8, ..Options::default() };
    for round in 0..60 {
        let folder = Folder::new();
        let store = Sqlite::open(&folder.file(), &options).unwrap();
        store.edit(edit("a", "one", None)).await.unwrap();
        drop(store);
        let names = std::fs::read_dir(&folder.0).unwrap().map(|entry| entry.unwrap().file_name());
        assert_eq!(names.collect::<Vec<_>>(), ["zones.db"], "round {round}: no other file is left");
    }
}

#[tokio::test]
async fn inline_reads_see_each_edit_and_leave_no_log_behind() {
    let folder = Folder::new();
    let options =
        Options { inline_reads: Some(stonevane_store::quick::Limits::default()), ..Options::default() };
    let store = Sqlite::open(&folder.file(), &options).unwrap();
    let answered = stonevane_store::Store::answered(&store);
    for edit_number in 1..=50u64 {
        let value = format!("v{edit_number}");
        let receipt = store.edit(edit("a", &value, None)).await.unwrap();
        let zone = store.get("a").await.unwrap().unwrap();
        assert_eq!((zone.value, zone.version), (value.into_bytes(), receipt.version));
    }
    assert_eq!(stonevane_store::Store::answered(&store) - answered, 100);
    assert_eq!(store.get("b").await, Ok(None));
    assert!(matches!(store.get("").await, Err(StoreError::Bounds(_))));
    // The first inline read counts as slow, so the reader threads serve the others, with the same results.
    let slow = stonevane_store::quick::Limits { slow_threshold: 0, ..Default::default() };
    let other = Sqlite::open(&folder.file(), &Options { inline_reads: Some(slow), ..options }).unwrap();
    for _ in 0..3 {
        assert_eq!(other.get("a").await.unwrap().unwrap().version, 50);
    }
    drop((store, other));
    assert!(!folder.0.join("zones.db-wal").exists());
}
