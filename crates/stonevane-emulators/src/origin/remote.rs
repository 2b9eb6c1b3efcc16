//! Cache servers in other processes, which receive fills and invalidations as commands.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use stonevane_codec::resp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Number of commands that are queued for a slow cache server; further ones are dropped.
const COMMAND_QUEUE_LENGTH: usize = 1024;

/// Command queues, one for each cache server.
#[derive(Default)]
pub(super) struct RemoteCaches {
    queues: Vec<mpsc::Sender<Bytes>>,
}

impl RemoteCaches {
    pub(super) fn connect(caches: &[SocketAddr]) -> RemoteCaches {
        let queue = |address: &SocketAddr| {
            let (sender, receiver) = mpsc::channel(COMMAND_QUEUE_LENGTH);
            tokio::spawn(forward(*address, receiver));
            sender
        };
        RemoteCaches { queues: caches.iter().map(queue).collect() }
    }

    pub(super) fn invalidate(&self, key: &str) {
        self.send(&["LAB.VOID", key]);
    }

    pub(super) fn fill(&self, key: &str, request: &str, version: u64) {
        self.send(&["LAB.FILL", key, request, &version.to_string()]);
    }

    fn send(&self, arguments: &[&str]) {
        let arguments: Vec<&[u8]> = arguments.iter().map(|argument| argument.as_bytes()).collect();
        let command = resp::encode_command(&arguments);
        for queue in &self.queues {
            let _ = queue.try_send(command.clone());
        }
    }
}

/// Forwards commands to a cache server. While it is unreachable they are dropped: it restarts without copies.
async fn forward(address: SocketAddr, mut commands: mpsc::Receiver<Bytes>) {
    let mut stream = None;
    while let Some(command) = commands.recv().await {
        if stream.is_none() {
            stream = TcpStream::connect(address).await.ok();
        }
        if let Some(connection) = &mut stream
            && call(connection, &command).await.is_err()
        {
            stream = None;
        }
    }
}

/// Sends a command and reads its answer, a single line.
async fn call(stream: &mut TcpStream, command: &[u8]) -> io::Result<()> {
    stream.write_all(command).await?;
    let mut answer = [0; 1];
    while stream.read_exact(&mut answer).await.is_ok() {
        if answer[0] == b'\n' {
            return Ok(());
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}
