//! The store of record of a fleet, and the operator file that points nodes to it.

use std::io;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use stonevane_emulators::Recorder;
use stonevane_emulators::client::key;
use stonevane_emulators::postgres::Postgres;
use stonevane_server_model::value::padded;
use stonevane_store::{Edit, Sqlite, Store, postgres, sqlite};

use crate::scenario::{Scenario, StoreSpec};

/// Length of the preloaded values, in bytes.
const VALUE_LEN_BYTES: usize = 24;

/// A started store of record.
pub(super) struct StoreOfRecord {
    /// PostgreSQL emulator; `None` for SQLite.
    pub(super) server: Option<Arc<Postgres>>,
    /// Path of the operator file.
    pub(super) operator: PathBuf,
}

impl StoreOfRecord {
    /// Starts a store, preloads it with zones and writes the operator file.
    pub(super) async fn start(
        spec: &StoreSpec,
        scenario: &Scenario,
        folder: &Path,
        recorder: &Recorder,
        ip: IpAddr,
    ) -> io::Result<StoreOfRecord> {
        let mut server = None;
        let location = if spec.sqlite {
            let file = folder.join("zones.db");
            let store = Sqlite::open(&file, &sqlite::Options::default()).map_err(io::Error::other)?;
            preload(&store, spec, scenario).await?;
            format!("sqlite = {:?}", file.display().to_string())
        } else {
            let started = Postgres::start(ip).await?;
            started.record(recorder.clone());
            let url = started.url();
            let store = stonevane_store::Postgres::new(&url, postgres::Options::default());
            preload(&store.map_err(io::Error::other)?, spec, scenario).await?;
            server = Some(started);
            format!("postgres = {url:?}")
        };
        let operator = folder.join("operator.toml");
        std::fs::write(&operator, operator_section(&location, spec))?;
        Ok(StoreOfRecord { server, operator })
    }
}

async fn preload(store: &impl Store, spec: &StoreSpec, scenario: &Scenario) -> io::Result<()> {
    for rank in 0..spec.preloaded_keys.min(scenario.load.keys) {
        let key = format!("{:016x}", key(rank));
        let value = padded(&format!("{key}.first"), VALUE_LEN_BYTES).into_bytes();
        store.edit(Edit { key, value, token: None, remember_ms: 0 }).await.map_err(io::Error::other)?;
    }
    Ok(())
}

/// Returns the `[store]` section of an operator file.
fn operator_section(location: &str, spec: &StoreSpec) -> String {
    let visibility = if spec.waits_for_placement { "placement" } else { "store" };
    format!(
        "[store]\n{location}\nstall_ms = {}\nfills = {}\nshare_fetches = {}\nedit_visibility = \"{visibility}\"\ncopy_ms = {}\n",
        spec.call_timeout_ms, spec.fills_caches, spec.shares_fetches, spec.copy_lifetime_ms
    )
}
