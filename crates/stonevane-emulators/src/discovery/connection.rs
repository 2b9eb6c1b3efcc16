//! The protocol of discovery on one connection: snapshots and watches of the list over HTTP.

use std::time::Duration;

use bytes::BytesMut;
use stonevane_audit::TimeInterval;
use stonevane_codec::http::{self, RequestHead};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{Discovery, DiscoveryFault};
use crate::record::MonotonicClock;
use crate::server::lock;

/// Interval at which an empty line is sent on an idle watch.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

const BAD_REQUEST: &[u8] = b"HTTP/1.1 400 Bad Request\r\n\r\n";
const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Discovery {
    /// Serves the calls of a connection until it ends.
    pub(super) async fn serve(&self, stream: &mut TcpStream, node: &str) -> std::io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = BytesMut::new();
        let mut fault = self.fault.subscribe();
        loop {
            let head = match read_head(stream, &mut buffer).await? {
                Call::Request(head) => head,
                Call::Malformed => return stream.write_all(BAD_REQUEST).await,
                Call::Closed => return Ok(()),
            };
            if !self.wait_for_turn(node, &head.target).await {
                return stream.write_all(UNAVAILABLE).await;
            }
            let active_fault = *fault.borrow_and_update();
            match active_fault {
                DiscoveryFault::Silent => {
                    let _ = fault.changed().await;
                    return Ok(());
                }
                DiscoveryFault::Failing => return stream.write_all(UNAVAILABLE).await,
                _ => {}
            }
            if !head.target.starts_with("/v1/servers") {
                stream.write_all(NOT_FOUND).await?;
                continue;
            }
            if is_watch(&head.target) {
                return self.watch(stream, node, held_index(&head.target)).await;
            }
            self.send_snapshot(stream, node).await?;
        }
    }

    /// Waits until the work of a call and of all calls before it is done; `false` if the call is rejected.
    async fn wait_for_turn(&self, node: &str, target: &str) -> bool {
        let held_index = held_index(target).filter(|_| is_watch(target));
        let entries = lock(&self.endpoints).update_entries(held_index);
        let work_us = (self.spec.work_per_call + self.spec.work_per_entry * entries).as_micros() as u64;
        let max_queued_us = self.spec.max_queued_work.as_micros() as u64;
        let done = lock(&self.calls).enqueue(MonotonicClock::now(), work_us, max_queued_us);
        self.record_call(node, done.is_some());
        let Some(done) = done else { return false };
        tokio::time::sleep(Duration::from_micros(done.saturating_sub(MonotonicClock::now()))).await;
        true
    }

    async fn send_snapshot(&self, stream: &mut TcpStream, node: &str) -> std::io::Result<()> {
        let update = lock(&self.endpoints).snapshot(node, self.skew_ms());
        let body = &update.body;
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let started_us = MonotonicClock::now();
        stream.write_all(text.as_bytes()).await?;
        self.record_update(
            node,
            TimeInterval { earliest: started_us, latest: MonotonicClock::now() },
            update,
        );
        Ok(())
    }

    /// Sends each change after the index that the node holds; if it holds none, sends the list first.
    async fn watch(
        &self,
        stream: &mut TcpStream,
        node: &str,
        mut held_index: Option<u64>,
    ) -> std::io::Result<()> {
        let mut index = self.index.subscribe();
        let mut fault = self.fault.subscribe();
        stream.write_all(CHUNKED).await?;
        loop {
            index.borrow_and_update();
            let active_fault = *fault.borrow_and_update();
            if active_fault == DiscoveryFault::Silent {
                let _ = fault.changed().await;
                return Ok(());
            }
            let update = lock(&self.endpoints).update(held_index, node, self.skew_ms());
            held_index = Some(update.index);
            if update.is_snapshot || !update.entries.is_empty() {
                let started_us = MonotonicClock::now();
                stream.write_all(chunk(&format!("{}\n", update.body)).as_bytes()).await?;
                self.record_update(
                    node,
                    TimeInterval { earliest: started_us, latest: MonotonicClock::now() },
                    update,
                );
                if active_fault == DiscoveryFault::Dropping {
                    return Ok(());
                }
            }
            tokio::select! {
                _ = index.changed() => {}
                _ = fault.changed() => {}
                () = tokio::time::sleep(KEEP_ALIVE) => stream.write_all(chunk("\n").as_bytes()).await?,
            }
        }
    }
}

/// The next input on a connection.
enum Call {
    Request(RequestHead),
    Malformed,
    Closed,
}

async fn read_head(stream: &mut TcpStream, buffer: &mut BytesMut) -> std::io::Result<Call> {
    loop {
        match http::request_head(buffer) {
            Ok(Some(head)) => {
                let _ = buffer.split_to(head.length);
                return Ok(Call::Request(head));
            }
            Ok(None) => {}
            Err(_) => return Ok(Call::Malformed),
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(Call::Closed);
        }
    }
}

fn is_watch(target: &str) -> bool {
    target.contains("watch=1")
}

/// Returns the index of the list that the caller holds, from the query parameter `after`.
fn held_index(target: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix("after="))?;
    pair.parse().ok()
}

/// Encodes a chunk of a chunked body.
fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
