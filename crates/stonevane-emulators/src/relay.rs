//! A bare relay in a node's place: it forwards each read to one server and the value back, and decides nothing. Its
//! cost is what no node can save; the load that can be offered through it bounds what can be measured.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Space for each read, in bytes.
const READ_SIZE: usize = 4096;
/// The time limit for each read from the server.
const SERVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Relays until the listener fails.
pub async fn relay(listener: TcpListener, server: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let _ = serve(stream, server).await;
        });
    }
}

async fn serve(mut client: TcpStream, server: SocketAddr) -> std::io::Result<()> {
    client.set_nodelay(true)?;
    let mut server = ServerConnection { stream: TcpStream::connect(server).await?, input: BytesMut::new() };
    server.stream.set_nodelay(true)?;
    let mut input = BytesMut::new();
    loop {
        input.reserve(READ_SIZE);
        while let Some(words) = resp::take_command(&mut input).map_err(malformed)? {
            if words.first().is_some_and(|word| word.eq_ignore_ascii_case(b"PING")) {
                client.write_all(b"+PONG\r\n").await?;
                continue;
            }
            let Some(value) = server.call(&words).await? else { return Ok(()) };
            client.write_all(&answer(value)).await?;
        }
        if client.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

fn malformed(_: resp::Malformed) -> std::io::Error {
    std::io::ErrorKind::InvalidData.into()
}

struct ServerConnection {
    stream: TcpStream,
    input: BytesMut,
}

impl ServerConnection {
    /// Sends a command and reads its value; `None` at the connection's end.
    async fn call(&mut self, words: &[Bytes]) -> std::io::Result<Option<Value>> {
        let words: Vec<&[u8]> = words.iter().map(Bytes::as_ref).collect();
        self.stream.write_all(&resp::command(&words)).await?;
        loop {
            if let Some(value) = resp::take_value(&mut self.input, resp::MAX_VALUE).map_err(malformed)? {
                return Ok(Some(value));
            }
            self.input.reserve(READ_SIZE);
            let read = tokio::time::timeout(SERVER_TIMEOUT, self.stream.read_buf(&mut self.input)).await;
            if read.map_err(std::io::Error::other)?? == 0 {
                return Ok(None);
            }
        }
    }
}

/// The answer to the client for a server's value.
fn answer(value: Value) -> BytesMut {
    let mut answer = BytesMut::new();
    match value {
        Value::Array(items) => match items.into_iter().next() {
            Some(Value::Bulk(Some(value))) => resp::put_bulk(&mut answer, &value),
            _ => answer.extend_from_slice(b"-ERR miss\r\n"),
        },
        Value::Error(line) => {
            answer.extend_from_slice(b"-");
            answer.extend_from_slice(&line);
            answer.extend_from_slice(b"\r\n");
        }
        _ => answer.extend_from_slice(b"-ERR failed\r\n"),
    }
    answer
}
