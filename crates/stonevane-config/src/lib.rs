//! Parser of hand-written TOML files. It lists every error with its line and column, and rejects unknown keys
//! with a suggestion of the nearest known one.
//!
//! A [`Document`] is parsed once. Each subsystem reads the [`Table`]s that it owns, key by key with a default
//! and bounds. Keys that were never read are unknown. The crate reads no files and depends on no subsystem.
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

pub use document::{Document, MAX_DOCUMENT_BYTES, Span};
pub use error::{ConfigError, Problem, suggest};
pub use table::Table;
