//! Files that people write, in TOML: every error is listed with its line and column, and an unknown key is rejected
//! with the nearest known one.
//!
//! A [`Document`] is parsed once. Each subsystem reads the [`Table`]s that it owns, key by key with a default and
//! bounds; what was never read is unknown. Nothing here reads a file or knows a subsystem.
//!
//! ```
//! let mut document = stonevane_config::Document::parse("[clients]\nidel_ms = 5\n");
//! let root = document.root();
//! if let Some(clients) = root.table("clients") {
//!     assert_eq!(clients.integer("idle_ms", 15_000, 100..=60_000), 15_000);
//!     clients.finish();
//! }
//! root.finish();
//! let errors = document.errors();
//! assert_eq!(errors[0].to_string(), "line 2, column 1: unknown key `idel_ms` in [clients]; did you mean `idle_ms`?");
//! ```

mod document;
mod error;
pub mod operator;
mod table;

pub use document::{Document, MAX_FILE, Place};
pub use error::{ConfigError, Problem, suggest};
pub use table::Table;
