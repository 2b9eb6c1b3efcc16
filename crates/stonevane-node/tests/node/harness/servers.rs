//! Emulated cache servers and origins, whose action for each request the test chooses.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::{TEST_TIMEOUT, read_line};

/// Action of an emulated server on a request.
pub enum Action {
    /// Responds with these bytes.
    Respond(Vec<u8>),
    /// Responds with these bytes once the channel carries a message.
    RespondAfter(Receiver<()>, Vec<u8>),
    /// Responds with these bytes and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Responds with the bytes of the first field, and 3 ms later with those of the second.
    RespondInTwoWrites(Vec<u8>, Vec<u8>),
    /// Responds with these bytes once the latch is open.
    RespondWhenOpen(Latch, Vec<u8>),
    /// Responds with these bytes, and closes the connection once the latch is open.
    RespondThenClose(Latch, Vec<u8>),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing, and keeps the connection open.
    Hang,
}

/// Blocks any number of waiters until it is opened.
#[derive(Clone, Default)]
pub struct Latch(Arc<(Mutex<bool>, Condvar)>);

impl Latch {
    pub fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn wait(&self) {
        let open = self.0.0.lock().unwrap();
        let _ = self.0.1.wait_timeout_while(open, TEST_TIMEOUT, |open| !*open);
    }
}

/// A request that an emulated server received: its words, and the number of its connection. No words mean
/// that the connection has ended.
pub struct ReceivedRequest {
    pub words: Vec<String>,
    pub conn: u32,
}

pub struct EmulatedServer {
    pub address: SocketAddr,
    pub received: Receiver<ReceivedRequest>,
}

impl EmulatedServer {
    pub fn next_request(&self) -> ReceivedRequest {
        std::iter::from_fn(|| self.received.recv_timeout(TEST_TIMEOUT).ok())
            .find(|seen| !seen.words.is_empty())
            .expect("a request at the emulated server")
    }

    /// Waits until a connection has ended.
    pub fn wait_for_closed_connection(&self) {
        let end = std::iter::from_fn(|| self.received.recv_timeout(TEST_TIMEOUT).ok())
            .find(|seen| seen.words.is_empty());
        assert!(end.is_some(), "no connection has ended");
    }
}

fn start_server(
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    act: impl FnMut(&[String]) -> Action + Send + Clone + 'static,
) -> EmulatedServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = channel();
    std::thread::spawn(move || {
        for (conn, stream) in listener.incoming().flatten().enumerate() {
            let (mut act, sender) = (act.clone(), sender.clone());
            std::thread::spawn(move || {
                serve_connection(stream, conn as u32, read, &mut act, &sender);
                let _ = sender.send(ReceivedRequest { words: Vec::new(), conn: conn as u32 });
            });
        }
    });
    EmulatedServer { address, received }
}

fn serve_connection(
    stream: TcpStream,
    conn: u32,
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    act: &mut impl FnMut(&[String]) -> Action,
    sender: &Sender<ReceivedRequest>,
) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(words) = read(&mut input) {
        let action = act(&words);
        let _ = sender.send(ReceivedRequest { words, conn });
        let (response, close) = match action {
            Action::Respond(bytes) => (bytes, false),
            Action::RespondAfter(release, bytes) => {
                let _ = release.recv_timeout(TEST_TIMEOUT);
                (bytes, false)
            }
            Action::RespondInTwoWrites(bytes, more) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(3));
                (more, false)
            }
            Action::RespondWhenOpen(latch, bytes) => {
                latch.wait();
                (bytes, false)
            }
            Action::RespondThenClose(latch, bytes) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                latch.wait();
                (Vec::new(), true)
            }
            Action::RespondAndClose(bytes) => (bytes, true),
            Action::Close => (Vec::new(), true),
            Action::Hang => (Vec::new(), false),
        };
        if out.write_all(&response).is_err() || close {
            // Dropping the socket is not enough: a process that another test is starting may have inherited
            // it.
            let _ = out.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Reads a RESP command: an array of bulk strings.
pub fn read_command(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let count: usize = read_line(input)?.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| read_bulk_string(input)).collect()
}

fn read_bulk_string(input: &mut BufReader<TcpStream>) -> Option<String> {
    let size: usize = read_line(input)?.strip_prefix('$')?.parse().ok()?;
    let mut bytes = vec![0; size + 2];
    input.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes[..size]).into_owned())
}

/// Reads an HTTP request and returns its first line, its headers and its body, in this order.
pub fn read_http(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut words = vec![read_line(input)?];
    let mut length = 0;
    loop {
        let header = read_line(input)?;
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("Content-Length: ") {
            length = value.parse().ok()?;
        }
        words.push(header);
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    words.push(String::from_utf8_lossy(&body).into_owned());
    Some(words)
}

/// Starts a cache server that takes the given action on each command. Each connection has its own clone of
/// `act`.
pub fn cache(act: impl FnMut(&[String]) -> Action + Send + Clone + 'static) -> EmulatedServer {
    start_server(read_command, act)
}

/// Starts an origin that takes the given action on each request. Each connection has its own clone of `act`.
pub fn origin(act: impl FnMut(&[String]) -> Action + Send + Clone + 'static) -> EmulatedServer {
    start_server(read_http, act)
}

pub fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

pub fn miss() -> Vec<u8> {
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()
}

pub fn http_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
