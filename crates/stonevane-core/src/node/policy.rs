//! Runs the policy: passes events to it and carries out its actions.

use std::collections::VecDeque;

use stonevane_policy::{Action, AttemptStatus, Event, LoadReport, Micros, Policy};

use super::Core;
use super::config::CoreConfig;
use crate::faults::{Faults, Mutant};
use crate::io::{DiscoveryRequest, LogLine, Output};
use crate::reply::AttemptKey;
use crate::request::FinalAnswer;
use crate::timers::TimerKind;

/// Shortest delay of a policy timer. A timer without delay that re-arms itself would be due again within the
/// same call of [`Core::handle`], without end.
const MIN_TIMER_DELAY: Micros = 1;

/// The policy and the queue of its events.
pub(super) struct PolicyRunner {
    pub policy: Policy,
    pub events: VecDeque<Event>,
    /// Buffer for the actions of one event, kept to reuse its allocation.
    actions: Vec<Action>,
}

impl PolicyRunner {
    pub fn new(config: &CoreConfig) -> PolicyRunner {
        PolicyRunner {
            policy: Policy::new(config.deployment.settings.clone(), config.seed),
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }
}

impl<F: Faults> Core<F> {
    /// Passes an event to the policy and carries out the resulting actions.
    pub(super) fn notify_policy(&mut self, event: Event) {
        self.policy.events.push_back(event);
        self.run_policy();
    }

    /// Passes all queued events to the policy, including those that its actions cause.
    pub(super) fn run_policy(&mut self) {
        while let Some(event) = self.policy.events.pop_front() {
            let mut actions = std::mem::take(&mut self.policy.actions);
            self.policy.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            self.policy.actions = actions;
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { request, server, give_up_after } => {
                if self.faults.injects(Mutant::SendTwice) {
                    self.send_attempt(request, server, give_up_after);
                }
                self.send_attempt(request, server, give_up_after);
            }
            Action::Reject { .. } if self.faults.injects(Mutant::ForgetRefusal) => {}
            Action::Reject { request, retry_after } => {
                self.answer(request, FinalAnswer::Rejected { retry_after });
            }
            Action::Fail(request) => self.answer(request, FinalAnswer::Failed),
            Action::Cancel { request, attempt } => {
                let key = AttemptKey { request, number: attempt };
                self.give_up_attempt(key, AttemptStatus::Cancelled);
            }
            Action::Timer { after, token } => {
                self.timers.push(self.now + after.max(MIN_TIMER_DELAY), TimerKind::Policy(token));
            }
            Action::Subscribe(true) | Action::FetchList if self.discovery.calls_stopped => {}
            Action::Subscribe(true) => self.open_watch(),
            Action::Subscribe(false) => self.call_discovery(DiscoveryRequest::StopWatch),
            Action::FetchList => self.call_discovery(DiscoveryRequest::FetchList),
            Action::CloseIdle(server) => self.close_idle_connections(server),
            Action::Explain { request, reason } => self.explain(request, reason.name()),
            Action::Log(line) => self.log(line),
            Action::Fault(line) => self.out.push_back(Output::Log(LogLine::Error(line))),
            // The core has no sockets for health checks and peers: a check fails at once, a message is
            // dropped.
            Action::HealthCheck(server) => self.policy.events.push_back(Event::HealthCheckFinished {
                server,
                ok: false,
                elapsed: 0,
                load: LoadReport::default(),
            }),
            Action::SendToPeer { .. } => {}
        }
    }
}
