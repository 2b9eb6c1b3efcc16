//! A client of the node, and the RESP commands that it sends.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::{TEST_TIMEOUT, read_line};

/// A client connection to the node.
pub struct Client {
    pub out: TcpStream,
    pub input: BufReader<TcpStream>,
}

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
    }
    bytes
}

pub fn get(key: &str, id: &str) -> Vec<u8> {
    command(&["OBJ.GET", key, id, "c=read,t=acme,d=8000"])
}

pub fn put(key: &str, id: &str, value: &str) -> Vec<u8> {
    command(&["OBJ.SET", key, id, "c=put,t=acme,d=8000,k=77", value])
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { out: stream.try_clone().unwrap(), input: BufReader::new(stream) }
    }

    /// Whether the connection is open and holds no unread bytes. Reads nothing.
    pub fn is_open(&self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let open = matches!(self.out.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        self.out.set_nonblocking(false).unwrap();
        open
    }

    /// Whether the node has closed the connection. Reads and discards the responses that came before.
    pub fn is_closed(&mut self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let mut discarded = [0; 64];
        let closed = loop {
            match self.out.read(&mut discarded) {
                Ok(0) => break true,
                Ok(_) => {}
                Err(e) => break e.kind() != std::io::ErrorKind::WouldBlock,
            }
        };
        self.out.set_nonblocking(false).unwrap();
        closed
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).unwrap();
    }

    /// Reads the next response and returns a line unchanged, a bulk string as its content; `None` at the end
    /// of the connection.
    pub fn read_response(&mut self) -> Option<String> {
        let first = read_line(&mut self.input)?;
        let Some(size) = first.strip_prefix('$') else { return Some(first) };
        let mut bytes = vec![0; size.parse::<usize>().unwrap() + 2];
        self.input.read_exact(&mut bytes).ok()?;
        bytes.truncate(bytes.len() - 2);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Sends a command and reads its response.
    pub fn request(&mut self, bytes: &[u8]) -> Option<String> {
        self.send(bytes);
        self.read_response()
    }
}
