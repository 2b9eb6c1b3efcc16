//! A bare relay in place of a node: it forwards each read to one server and returns the value, without any
//! decision. Its cost is the minimum for any node, and the load that it sustains is an upper bound for
//! measurements.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Space reserved for each read, in bytes.
const READ_SIZE: usize = 4096;
/// Time limit for each read from the server.
const SERVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections and relays their requests to `server` until the listener fails.
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
        while let Some(arguments) = resp::take_command(&mut input).map_err(malformed)? {
            if arguments.first().is_some_and(|name| name.eq_ignore_ascii_case(b"PING")) {
                client.write_all(b"+PONG\r\n").await?;
                continue;
            }
            let Some(value) = server.call(&arguments).await? else { return Ok(()) };
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
    /// Sends a command and reads the response; `None` when the server has closed the connection.
    async fn call(&mut self, arguments: &[Bytes]) -> std::io::Result<Option<Reply>> {
        let arguments: Vec<&[u8]> = arguments.iter().map(Bytes::as_ref).collect();
        self.stream.write_all(&resp::encode_command(&arguments)).await?;
        loop {
            if let Some(reply) = resp::take_reply(&mut self.input, resp::MAX_ARG_BYTES).map_err(malformed)? {
                return Ok(Some(reply));
            }
            self.input.reserve(READ_SIZE);
            let read = tokio::time::timeout(SERVER_TIMEOUT, self.stream.read_buf(&mut self.input)).await;
            if read.map_err(std::io::Error::other)?? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Converts a server's response to the response for the client.
fn answer(reply: Reply) -> BytesMut {
    let mut answer = BytesMut::new();
    match reply {
        Reply::Array(items) => match items.into_iter().next() {
            Some(Reply::Bulk(Some(value))) => resp::put_bulk(&mut answer, &value),
            _ => answer.extend_from_slice(b"-ERR miss\r\n"),
        },
        Reply::Error(line) => {
            answer.extend_from_slice(b"-");
            answer.extend_from_slice(&line);
            answer.extend_from_slice(b"\r\n");
        }
        _ => answer.extend_from_slice(b"-ERR failed\r\n"),
    }
    answer
}
