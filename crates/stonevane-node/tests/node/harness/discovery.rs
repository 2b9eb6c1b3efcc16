//! An emulated discovery service, and the server lists that it sends.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use super::read_http;

/// Starts a discovery service that answers each call with the next script. The last call stays open: it sends
/// what comes through the returned sender, and a blank line in each second without an update. Returns its
/// address, the sender of updates, and the request lines of the calls.
pub fn discovery(scripts: Vec<Vec<u8>>) -> (SocketAddr, Sender<Vec<u8>>, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (update_sender, updates) = channel::<Vec<u8>>();
    let (call_sender, calls) = channel();
    std::thread::spawn(move || {
        let count = scripts.len();
        for (number, (script, stream)) in scripts.into_iter().zip(listener.incoming().flatten()).enumerate() {
            let mut out = stream.try_clone().unwrap();
            let mut input = BufReader::new(stream);
            let request = read_http(&mut input).unwrap_or_default();
            let _ = call_sender.send(request.first().cloned().unwrap_or_default());
            let _ = out.write_all(&script);
            if number + 1 < count {
                continue;
            }
            loop {
                let bytes = match updates.recv_timeout(Duration::from_secs(1)) {
                    Ok(bytes) => bytes,
                    Err(std::sync::mpsc::RecvTimeoutError::Timeout) => chunk("\n"),
                    Err(_) => return,
                };
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
        }
    });
    (address, update_sender, calls)
}

/// The response head of a watch.
pub fn watch_head() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// An entry of a server list.
pub fn entry(name: &str, address: SocketAddr, kind: &str, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"{kind}","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
    )
}

/// A message of discovery: a whole list (`snapshot`) or an update of the given entries.
pub fn server_list(index: u64, snapshot: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(",")) + "\n"
}
