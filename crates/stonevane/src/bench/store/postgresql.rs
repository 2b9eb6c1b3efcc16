//! Compares the store on the PostgreSQL emulator with a bare client of the same emulator.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use stonevane_emulators::postgres::Postgres as Server;
use stonevane_store::postgres::tokio_postgres::{Client, Error, NoTls, Statement, connect};
use stonevane_store::{Edit, Postgres, Store, postgres};

use super::super::BenchResult;
use super::{KEYS, Row, StoreRates, VALUE_LEN, bare_token, edit, key, print_table, sequential_rate};

const BARE_READ: usize = 0;
const BARE_READ_WITH_COUNTER: usize = 1;
const BARE_WRITE: usize = 4;
/// Time limit for starting the emulator.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the emulator on a separate thread, which lives as long as the process; returns its URL.
fn start_server() -> BenchResult<String> {
    let (started, url) = channel();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async move {
            let Ok(server) = Server::start(Ipv4Addr::LOCALHOST.into()).await else { return };
            let _ = started.send(server.url());
            std::future::pending::<()>().await;
        });
    });
    url.recv_timeout(START_TIMEOUT).map_err(|_| "the PostgreSQL emulator did not start".into())
}

/// A client with one connection that sends the store's statements in the same round trips as the store.
struct BareClient {
    client: Client,
    read: Statement,
    /// The read that a store needs to recognize a stale replica: the row and the version counter.
    read_with_counter: Statement,
    next_version: Statement,
    put: Statement,
    insert_token: Statement,
}

impl BareClient {
    async fn connect(url: &str) -> Result<BareClient, Error> {
        let (client, connection) = connect(url, NoTls).await?;
        tokio::spawn(connection);
        Ok(BareClient {
            read: client.prepare("SELECT value, version FROM zones WHERE key = $1::text").await?,
            read_with_counter: client
                .prepare(
                    "SELECT c.version, z.value, z.version, z.edited_at FROM counter c \
                     LEFT JOIN zones z ON z.key = $1::text WHERE c.id = 1",
                )
                .await?,
            next_version: client
                .prepare("UPDATE counter SET version = version + 1 WHERE id = 1 RETURNING version")
                .await?,
            put: client
                .prepare("UPDATE zones SET value = $2::bytea, version = $3::bigint WHERE key = $1::text")
                .await?,
            insert_token: client
                .prepare(
                    "INSERT INTO edits (token, key, digest, version, expires) \
                     VALUES ($1::text, $2::text, 0, $3::bigint, 0)",
                )
                .await?,
            client,
        })
    }

    async fn get(&self, statement: &Statement, number: u64) -> Result<(), Error> {
        self.client.query_opt(statement, &[&key(number)]).await.map(drop)
    }

    async fn edit(&self, number: u64) -> Result<(), Error> {
        let (key, token, value) = (key(number), bare_token(number), vec![b'x'; VALUE_LEN]);
        let (begun, version) =
            tokio::join!(self.client.batch_execute("BEGIN"), self.client.query_one(&self.next_version, &[]));
        begun?;
        let version: i64 = version?.try_get(0)?;
        let (put, token_inserted) =
            tokio::join!(async { self.client.execute(&self.put, &[&key, &value, &version]).await }, async {
                self.client.execute(&self.insert_token, &[&token, &key, &version]).await
            });
        put.and(token_inserted)?;
        self.client.batch_execute("COMMIT").await
    }
}

pub(super) fn measure(rounds: u64) -> BenchResult {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let url = start_server()?;
    let store = Arc::new(Postgres::new(&url, postgres::Options::default())?);
    for number in 0..KEYS {
        runtime.block_on(store.edit(Edit { token: None, ..edit(number) }))?;
    }
    let bare = runtime.block_on(BareClient::connect(&url))?;
    let mut rows = [
        Row::new("bare read, one connection", BARE_READ),
        Row::new("bare read, the counter with it", BARE_READ),
        Row::new("store read, one by one", BARE_READ_WITH_COUNTER),
        Row::new("store read, 64 at once", BARE_READ_WITH_COUNTER),
        Row::new("bare write, a commit each", BARE_WRITE),
        Row::new("store edit, a commit each", BARE_WRITE),
    ];
    for _ in 0..rounds {
        let reads = sequential_rate(async |number| bare.get(&bare.read, number).await);
        let bare_reads = runtime.block_on(reads)?;
        let reads = sequential_rate(async |number| bare.get(&bare.read_with_counter, number).await);
        let bare_reads_with_counter = runtime.block_on(reads)?;
        let bare_writes = runtime.block_on(sequential_rate(async |number| bare.edit(number).await))?;
        let store = StoreRates::measure(&runtime, &store)?;
        let rates = [
            bare_reads,
            bare_reads_with_counter,
            store.reads,
            store.concurrent_reads,
            bare_writes,
            store.writes,
        ];
        for (row, rate) in rows.iter_mut().zip(rates) {
            row.rates.push(rate);
        }
    }
    print_table("PostgreSQL (the emulator)", rounds, &rows);
    Ok(())
}
