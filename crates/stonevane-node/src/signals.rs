//! Signals: SIGTERM and SIGINT drain the node, SIGHUP reloads the configuration.

use std::io::Result;
use std::sync::Arc;

use stonevane_core::Input;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::config::{Config, ConfigError};
use crate::driver::Driver;
use crate::handover::HandoverPoller;
use crate::log::log;
use crate::membership::Membership;

/// Streams of the handled signals; a signal that arrives after the installation is not lost.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// A signal handler cannot be installed.
    pub fn install() -> Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Starts the tasks that act on the signals.
    pub fn spawn_handlers(self, termination: Termination, mut reloader: Reloader) {
        let Signals { mut terminate, mut interrupt, mut hangup } = self;
        tokio::spawn(async move {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
            termination.begin().await;
        });
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                reloader.reload();
            }
        });
    }
}

/// Components that a drain involves.
pub struct Termination {
    /// Polls the other processes of the node, if it takes part in handovers.
    pub handover: Option<HandoverPoller>,
    /// Membership, if the node takes part in it.
    pub membership: Option<Arc<Membership>>,
    /// The driver of the core.
    pub driver: Arc<Driver>,
}

impl Termination {
    /// Begins the drain. The first poll finds out whether a newer process takes over before anything is
    /// closed; the second informs the newer process at once that no other process accepts connections any
    /// more.
    async fn begin(self) {
        self.poll_handover().await;
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        self.driver.input(Input::Terminate);
        self.poll_handover().await;
    }

    async fn poll_handover(&self) {
        if let Some(handover) = &self.handover {
            handover.poll_now().await;
        }
    }
}

/// Components that a reload of the configuration updates.
pub struct Reloader {
    /// The parsed configuration file that is in force.
    pub document: serde_json::Value,
    /// Membership, if the node takes part in it.
    pub membership: Option<Arc<Membership>>,
    /// The driver of the core.
    pub driver: Arc<Driver>,
}

impl Reloader {
    /// Reads the configuration again. An unusable one changes nothing and does not end the process.
    fn reload(&mut self) {
        match Config::reload(&self.document) {
            Ok(config) => self.apply(config),
            Err(error) => self.reject(&error),
        }
    }

    fn apply(&mut self, config: Config) {
        if let Some(Err(errors)) = self.membership.as_ref().map(|membership| membership.update_peers(&config))
        {
            for error in errors {
                log(&format!("reload: {error}; the previous peers stay in force"));
            }
        }
        self.document = config.document;
        let classes = config.deployment.classes.join(", ");
        log(&format!("configuration reloaded: discovery {}, request classes {classes}", config.discovery));
        self.driver.input(Input::Settings(Box::new(config.deployment)));
        self.driver.input(Input::DiscoveryMoved(config.discovery));
    }

    fn reject(&self, error: &ConfigError) {
        log(&format!("reload: {error}; the old configuration stays in force"));
        self.driver.input(Input::ReloadFailed);
    }
}
