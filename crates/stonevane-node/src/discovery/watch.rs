//! The watch on changes of the endpoint list, for nodes that poll a remote discovery service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use stonevane_codec::http::ResponseHead;
use stonevane_core::DiscoveryEpoch;
use tokio::time::Instant;

use super::call::{CallContext, HeadDeadline, PendingCall};
use super::error::CallError;

/// Returns the path of a watch on the changes after a version; `None`: on all changes, beginning with the
/// whole list.
pub(super) fn watch_path(after: Option<u64>) -> String {
    match after {
        None => "/v1/servers?watch=1".into(),
        Some(version) => format!("/v1/servers?watch=1&after={version}"),
    }
}

/// A watch whose response has not begun in time. Discovery serves calls in order, so this one keeps its place
/// in the queue while the next one, which queues behind it, is also in flight.
#[derive(Clone, Default)]
pub(super) struct UnansweredWatch(Arc<Mutex<Option<(DiscoveryEpoch, PendingCall)>>>);

impl UnansweredWatch {
    /// Replaces the stored call; `None` removes it.
    fn keep(&self, epoch: DiscoveryEpoch, call: Option<PendingCall>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = call.map(|call| (epoch, call));
    }

    /// Takes the stored call, and returns it if it was made in this epoch of discovery. A call of another
    /// epoch is dropped.
    fn take(&self, epoch: DiscoveryEpoch) -> Option<PendingCall> {
        let stored = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        stored.filter(|(of, _)| *of == epoch).map(|(_, call)| call)
    }

    /// Drops the stored call, which closes its connection.
    pub fn cancel(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

/// Watches the changes after a version. If the previous, unanswered watch is answered first, it replaces the
/// present one.
pub(super) async fn run_watch(
    address: SocketAddr,
    after: Option<u64>,
    context: &CallContext,
    unanswered: &UnansweredWatch,
    last_received: &mut Instant,
) -> Result<(), CallError> {
    let mut previous = unanswered.take(context.epoch);
    let mut present = None;
    let path = watch_path(after);
    let present_head = async {
        let call = present.insert(PendingCall::send(address, &path, context, last_received).await?);
        call.head(context, HeadDeadline::Timeout, last_received).await
    };
    let (call, head) = tokio::select! {
        biased;
        head = previous_head(&mut previous, context) => (previous, Ok(head)),
        head = present_head => {
            if head.is_err() {
                let timed_out = matches!(head, Err(CallError::Unanswered));
                unanswered.keep(context.epoch, present.take_if(|_| timed_out).or(previous));
            }
            (present, head)
        }
    };
    let head = head?;
    match call {
        Some(call) => call.lists(head, context, last_received).await,
        None => Ok(()),
    }
}

/// Waits for the head of the response to the previous call. If that call fails, this never returns and the
/// present call continues alone.
async fn previous_head(previous: &mut Option<PendingCall>, context: &CallContext) -> ResponseHead {
    if let Some(call) = previous
        && let Ok(head) = call.head(context, HeadDeadline::None, &mut Instant::now()).await
    {
        return head;
    }
    *previous = None;
    std::future::pending().await
}
