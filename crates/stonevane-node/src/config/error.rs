//! Errors of the configuration.

use stonevane_policy::settings::SettingsError;

use crate::inherited_listener::InheritError;

/// Reason why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("environment variable {0} is not set")]
    Unset(&'static str),
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The file is not valid JSON or does not match the schema.
    #[error("the configuration is not valid JSON or does not match its schema: {0}")]
    Json(serde_json::Error),
    /// The file lacks a key that the file in force has; the key as a path.
    #[error("the configuration lacks {0}, which the last one had")]
    MissingKey(String),
    /// The descriptor that was passed on is not a usable listening socket.
    #[error("ROUTER_LISTEN_FD: {0}")]
    Inherited(#[from] InheritError),
    /// A field has no usable value.
    #[error("unusable {field} in the configuration: {value:?}")]
    Field {
        /// Name of the field, as a path of keys.
        field: &'static str,
        /// Rejected value.
        value: String,
    },
    /// The settings cannot be used.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The settings define no request class.
    #[error("`classes` of the settings is empty: at least one request class is required")]
    NoClasses,
}

/// Mismatch between the regions of the operator file and the settings.
#[derive(Debug, thiserror::Error)]
pub enum RegionError {
    /// The region has more nodes than the settings.
    #[error("[regions] `nodes` is {region}, and the settings have {settings} balancers")]
    TooManyNodes {
        /// Number of nodes in the region.
        region: u32,
        /// Number of nodes in the settings.
        settings: u32,
    },
    /// A region has a zone that the settings do not have.
    #[error("[regions.zones] `{region}` has the zone `{zone}`, which the settings do not have")]
    UnknownZone {
        /// Name of the region.
        region: String,
        /// Name of the zone.
        zone: String,
    },
}
