//! The listening socket, which is closed while the server refuses connections.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

use tokio::net::{TcpListener, TcpStream};

use super::session::Session;
use super::{PgFault, Postgres};
use crate::server::{REBIND_PAUSE, lock};

/// Accepts connections until the server is dropped.
pub(super) async fn run(server: Arc<Postgres>, mut listener: Option<TcpListener>) {
    let mut fault = server.fault.subscribe();
    let weak: Weak<Postgres> = Arc::downgrade(&server);
    let address = server.address;
    drop(server);
    loop {
        if *fault.borrow_and_update() == PgFault::Refuse {
            listener = None;
            if fault.changed().await.is_err() {
                return;
            }
            continue;
        }
        if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
            if listener.is_none() {
                tokio::time::sleep(REBIND_PAUSE).await;
                continue;
            }
        }
        let Some(open) = &listener else { continue };
        tokio::select! {
            changed = fault.changed() => if changed.is_err() { return },
            accepted = open.accept() => {
                let (Ok((stream, _)), Some(server)) = (accepted, weak.upgrade()) else { return };
                let _ = stream.set_nodelay(true);
                server.counters.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(server, stream));
            }
        }
    }
}

/// Serves a connection; [`PgFault::Refuse`] resets its session. Rolls back a transaction that is left open.
async fn serve(server: Arc<Postgres>, stream: TcpStream) {
    let mut fault = server.fault.subscribe();
    let mut session = Session::new(server.clone(), stream);
    tokio::select! {
        _ = session.run() => {}
        _ = fault.wait_for(|fault| *fault == PgFault::Refuse) => session.reset(),
    }
    lock(&server.cancel_signals).remove(&session.key());
    session.roll_back();
}
