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

/// The signals that are handled, from their installation on.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Handles the signals from now on.
    ///
    /// # Errors
    /// A signal cannot be handled.
    pub fn install() -> Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Starts the tasks that act on the signals.
    pub fn spawn_handlers(self, termination: Termination, mut reloads: Reloads) {
        let Signals { mut terminate, mut interrupt, mut hangup } = self;
        tokio::spawn(async move {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
            termination.begin().await;
        });
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                reloads.reload();
            }
        });
    }
}

/// What is notified that the node drains.
pub struct Termination {
    /// Polls the other processes of the node.
    pub handover: Option<HandoverPoller>,
    /// Membership, where the node takes part in it.
    pub membership: Option<Arc<Membership>>,
    /// The driver of the core.
    pub driver: Arc<Driver>,
}

impl Termination {
    /// Begins the drain. Whether a newer process takes over is known before anything is closed, and that process learns at
    /// once that it accepts alone.
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

/// What a reload of the configuration acts on.
pub struct Reloads {
    /// The configuration file that is in force.
    pub document: serde_json::Value,
    /// Membership, where the node takes part in it.
    pub membership: Option<Arc<Membership>>,
    /// The driver of the core.
    pub driver: Arc<Driver>,
}

impl Reloads {
    /// Reads the configuration again. One that cannot be used changes nothing, and never ends the process.
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
                log(&format!("reload: {error}; the old peers stay"));
            }
        }
        self.document = config.document;
        let classes = config.deployment.classes.join(", ");
        log(&format!("reload: discovery is at {}, classes are {classes}", config.discovery));
        self.driver.input(Input::Settings(Box::new(config.deployment)));
        self.driver.input(Input::DiscoveryMoved(config.discovery));
    }

    fn reject(&self, error: &ConfigError) {
        log(&format!("reload: {error}; the old configuration stays in force"));
        self.driver.input(Input::ReloadFailed);
    }
}
