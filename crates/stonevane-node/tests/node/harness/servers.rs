//! Emulated cache servers and origins, which do with each request what the test says.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use super::{LONG, line};

/// What a emulated server does with a request.
pub enum Act {
    /// Answers with these bytes.
    Say(Vec<u8>),
    /// Answers with these bytes once something comes through the channel.
    SayAfter(Receiver<()>, Vec<u8>),
    /// Answers with these bytes and ends the connection.
    SayAndClose(Vec<u8>),
    /// Answers with these bytes, and a moment later with the others.
    SayMore(Vec<u8>, Vec<u8>),
    /// Answers with these bytes once the latch is open.
    SayWhen(Latch, Vec<u8>),
    /// Answers with these bytes, and ends the connection once the latch is open.
    SayThenClose(Latch, Vec<u8>),
    /// Ends the connection.
    Close,
    /// Says nothing, and keeps the connection.
    Hang,
}

/// Holds back what waits for it until it is opened, for any number.
#[derive(Clone, Default)]
pub struct Latch(Arc<(Mutex<bool>, Condvar)>);

impl Latch {
    pub fn open(&self) {
        *self.0.0.lock().unwrap() = true;
        self.0.1.notify_all();
    }

    fn wait(&self) {
        let shut = self.0.0.lock().unwrap();
        let _ = self.0.1.wait_timeout_while(shut, LONG, |open| !*open);
    }
}

/// A request that reached a emulated server: its words, and the number of its connection; without words, the end
/// of that connection.
pub struct Seen {
    pub words: Vec<String>,
    pub conn: u32,
}

pub struct EmulatedServer {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl EmulatedServer {
    /// The next request that reaches it.
    pub fn next(&self) -> Seen {
        std::iter::from_fn(|| self.seen.recv_timeout(LONG).ok())
            .find(|seen| !seen.words.is_empty())
            .expect("a request")
    }

    /// Waits until a connection has ended.
    pub fn ended(&self) {
        let end = std::iter::from_fn(|| self.seen.recv_timeout(LONG).ok()).find(|seen| seen.words.is_empty());
        assert!(end.is_some(), "no connection has ended");
    }
}

fn serve(
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    act: impl FnMut(&[String]) -> Act + Send + Clone + 'static,
) -> EmulatedServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, seen) = channel();
    std::thread::spawn(move || {
        for (conn, stream) in listener.incoming().flatten().enumerate() {
            let (mut act, tell) = (act.clone(), tell.clone());
            std::thread::spawn(move || {
                connection(stream, conn as u32, read, &mut act, &tell);
                let _ = tell.send(Seen { words: Vec::new(), conn: conn as u32 });
            });
        }
    });
    EmulatedServer { address, seen }
}

fn connection(
    stream: TcpStream,
    conn: u32,
    read: fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>,
    act: &mut impl FnMut(&[String]) -> Act,
    tell: &Sender<Seen>,
) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Some(words) = read(&mut input) {
        let does = act(&words);
        let _ = tell.send(Seen { words, conn });
        let (said, close) = match does {
            Act::Say(bytes) => (bytes, false),
            Act::SayAfter(wait, bytes) => {
                let _ = wait.recv_timeout(LONG);
                (bytes, false)
            }
            Act::SayMore(bytes, more) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(3));
                (more, false)
            }
            Act::SayWhen(latch, bytes) => {
                latch.wait();
                (bytes, false)
            }
            Act::SayThenClose(latch, bytes) => {
                if out.write_all(&bytes).is_err() {
                    return;
                }
                latch.wait();
                (Vec::new(), true)
            }
            Act::SayAndClose(bytes) => (bytes, true),
            Act::Close => (Vec::new(), true),
            Act::Hang => (Vec::new(), false),
        };
        if out.write_all(&said).is_err() || close {
            // Shut down, not only dropped: a process that another test is just starting may hold it too.
            let _ = out.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// Reads a command, an array of bulk strings.
pub fn read_command(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let count: usize = line(input)?.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| bulk(input)).collect()
}

fn bulk(input: &mut BufReader<TcpStream>) -> Option<String> {
    let size: usize = line(input)?.strip_prefix('$')?.parse().ok()?;
    let mut bytes = vec![0; size + 2];
    input.read_exact(&mut bytes).ok()?;
    Some(String::from_utf8_lossy(&bytes[..size]).into_owned())
}

/// Reads an HTTP request: its first line, its headers, its body.
pub fn read_http(input: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut words = vec![line(input)?];
    let mut length = 0;
    loop {
        let header = line(input)?;
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

/// A cache server that does with each command what it is told.
pub fn cache(act: impl FnMut(&[String]) -> Act + Send + Clone + 'static) -> EmulatedServer {
    serve(read_command, act)
}

/// An origin that does with each request what it is told.
pub fn origin(act: impl FnMut(&[String]) -> Act + Send + Clone + 'static) -> EmulatedServer {
    serve(read_http, act)
}

pub fn hit(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes()
}

pub fn miss() -> Vec<u8> {
    b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec()
}

pub fn http(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
