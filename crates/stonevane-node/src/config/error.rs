//! Why a configuration cannot be used.

use stonevane_policy::settings::SettingsError;

use crate::inherited_listener::InheritError;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A variable that must be set is not.
    #[error("{0} is not set")]
    Unset(&'static str),
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Its path.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is no JSON, or not of its schema.
    #[error("unreadable configuration: {0}")]
    Json(serde_json::Error),
    /// The file lacks a key of the file before it.
    #[error("the configuration lacks {0}, which the last one had")]
    MissingKey(String),
    /// The descriptor that was passed on is not the clients' socket.
    #[error("ROUTER_LISTEN_FD {0}")]
    Inherited(#[from] InheritError),
    /// A field has no usable value.
    #[error("unusable {field} in the configuration: {value:?}")]
    Field {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The settings cannot be used.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The settings have no class of requests.
    #[error("the settings name no class of requests")]
    NoClasses,
}

/// Where the operator file's regions do not fit the settings.
#[derive(Debug, thiserror::Error)]
pub enum RegionError {
    /// The region has more nodes than there are.
    #[error("[regions] `nodes` is {region}, and the settings have {settings} balancers")]
    TooManyNodes {
        /// Nodes of the region.
        region: u32,
        /// Nodes of the settings.
        settings: u32,
    },
    /// A region has a zone that does not exist.
    #[error("[regions.zones] `{region}` has the zone `{zone}`, which the settings do not have")]
    UnknownZone {
        /// The region.
        region: String,
        /// The zone.
        zone: String,
    },
}
