//! A bare relay in a node's place: it passes each read on to one server and the value back, and decides
//! nothing. What it costs is what no node can save; what the lab can offer through it bounds what it can
//! measure.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::{self, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Relays until the listener fails.
pub async fn relay(listener: TcpListener, server: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let _ = connection(stream, server).await;
        });
    }
}

async fn connection(mut client: TcpStream, server: SocketAddr) -> std::io::Result<()> {
    client.set_nodelay(true)?;
    let mut upstream = TcpStream::connect(server).await?;
    upstream.set_nodelay(true)?;
    let (mut input, mut output) = (BytesMut::new(), BytesMut::new());
    loop {
        input.reserve(4096);
        let malformed = |_| std::io::Error::from(std::io::ErrorKind::InvalidData);
        while let Some(words) = resp::take_command(&mut input).map_err(malformed)? {
            if words.first().is_some_and(|word| word.eq_ignore_ascii_case(b"PING")) {
                client.write_all(b"+PONG\r\n").await?;
                continue;
            }
            let words: Vec<&[u8]> = words.iter().map(Bytes::as_ref).collect();
            upstream.write_all(&resp::command(&words)).await?;
            let value = loop {
                if let Some(value) = resp::take_value(&mut output, resp::MAX_VALUE).map_err(malformed)? {
                    break value;
                }
                output.reserve(4096);
                let read = upstream.read_buf(&mut output);
                let read = tokio::time::timeout(Duration::from_secs(10), read).await;
                if read.map_err(std::io::Error::other)?? == 0 {
                    return Ok(());
                }
            };
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
            client.write_all(&answer).await?;
        }
        if client.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}
