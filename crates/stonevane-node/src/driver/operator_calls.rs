//! Operators' calls on the management address, and exclusions that another process of this node has
//! persisted.

use std::sync::Arc;

use stonevane_core::Input;
use stonevane_core::management::{Answer, Call};

use super::{Driver, State};
use crate::log::log;

impl Driver {
    /// Answers a call on the management address.
    pub fn answer(self: &Arc<Self>, call: Call) -> Answer {
        let mut state = self.lock();
        match call {
            Call::Ready if state.core.ready() => Answer::line(200, "ready"),
            Call::Ready => Answer::line(503, "this process takes no clients"),
            Call::Metrics => match serde_json::to_string(&state.core.report()) {
                Ok(report) => Answer::object(report),
                Err(error) => Answer::line(503, error.to_string()),
            },
            Call::Fleet { brief } => match &self.membership {
                Some(membership) => Answer::object(membership.report(self.clock.now(), brief)),
                None => Answer::line(
                    404,
                    "this node takes no part in a fleet: [fleet] of the operator file is not set",
                ),
            },
            Call::Exclude { name, .. } if !state.core.has_cache_server(&name) => {
                Answer::line(404, "there is no cache server of that name")
            }
            Call::Exclude { name, excluded } => self.set_excluded(&mut state, name, excluded),
        }
    }

    /// Excludes a server or reinstates it. The change is persisted before it takes effect, so that it
    /// outlives this process.
    fn set_excluded(self: &Arc<Self>, state: &mut State, name: String, excluded: bool) -> Answer {
        let persisted =
            if excluded { self.exclusions.exclude(&name) } else { self.exclusions.reinstate(&name) };
        if let Err(error) = persisted {
            return Answer::line(503, format!("it can't be kept, and is not done: {error}"));
        }
        let (result, event) =
            if excluded { ("out", "excluded by an operator") } else { ("back", "reinstated by an operator") };
        log(&format!("cache server {name} {event}"));
        self.handle(state, Input::Exclude(name, excluded));
        self.perform_outputs(state);
        Answer::line(200, result)
    }

    /// Applies the exclusions that another process of this node has persisted or removed.
    pub fn reload_exclusions(self: &Arc<Self>) {
        let persisted = self.exclusions.excluded();
        let mut state = self.lock();
        let known = state.core.excluded();
        for name in known.iter().filter(|name| !persisted.contains(name)) {
            self.handle(&mut state, Input::Exclude(name.clone(), false));
        }
        for name in persisted.iter().filter(|name| !known.contains(name)) {
            self.handle(&mut state, Input::Exclude(name.clone(), true));
        }
        self.perform_outputs(&mut state);
    }
}
