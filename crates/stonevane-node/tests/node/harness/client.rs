//! A client of the node, and its commands.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::{LONG, line};

/// A client of the node.
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
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { out: stream.try_clone().unwrap(), input: BufReader::new(stream) }
    }

    /// Whether the node has not ended it.
    pub fn stands(&self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let stands = matches!(self.out.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        self.out.set_nonblocking(false).unwrap();
        stands
    }

    /// Whether the node has ended it, whatever it has said before.
    pub fn has_ended(&mut self) -> bool {
        self.out.set_nonblocking(true).unwrap();
        let mut said = [0; 64];
        let ended = loop {
            match self.out.read(&mut said) {
                Ok(0) => break true,
                Ok(_) => {}
                Err(e) => break e.kind() != std::io::ErrorKind::WouldBlock,
            }
        };
        self.out.set_nonblocking(false).unwrap();
        ended
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.out.write_all(bytes).unwrap();
    }

    /// The next answer: a line as it is, a bulk string as its content; `None` at the connection's end.
    pub fn answer(&mut self) -> Option<String> {
        let first = line(&mut self.input)?;
        let Some(size) = first.strip_prefix('$') else { return Some(first) };
        let mut bytes = vec![0; size.parse::<usize>().unwrap() + 2];
        self.input.read_exact(&mut bytes).ok()?;
        bytes.truncate(bytes.len() - 2);
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    pub fn ask(&mut self, bytes: &[u8]) -> Option<String> {
        self.send(bytes);
        self.answer()
    }
}
