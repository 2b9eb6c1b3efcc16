//! Backends on a TCP stream that carries one request at a time: what is common to all, whatever they speak.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp::MAX_VALUE;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{Backend, Job, Life, Seat};
use crate::reply::{Broken, News, Reply};

/// An answer that has begun and brings nothing more for this part of the longest aim will not be whole.
const HALF_TOLD: u64 = 8;
/// The longest value that a server's answer may hold.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// The wait for an answer to begin: the node's loop gives attempts up, by closing their connections.
const NO_END: Duration = Duration::from_secs(3600);
/// What is spoken on a stream.
pub trait Dialect: Send + Sync + 'static {
    /// The bytes of a request.
    fn encode(&self, job: &Job, host: &str) -> Bytes;

    /// Takes a whole answer off the front of what came; `None` while it is not all there.
    ///
    /// # Errors
    /// [`Broken`] where the bytes are no answer, or hold a value longer than `longest`.
    fn decode(
        &self,
        buffer: &mut BytesMut,
        load_names: &[String],
        longest: usize,
    ) -> Result<Option<Reply>, Broken>;

    /// The length that an answer states for its value, once it has.
    fn stated(&self, buffer: &[u8]) -> Option<usize>;
}

/// A backend that speaks a dialect on a stream.
pub struct Streamed<D>(Arc<D>);

impl<D: Dialect> Streamed<D> {
    /// A backend of this dialect.
    pub fn new(dialect: D) -> Self {
        Streamed(Arc::new(dialect))
    }
}

impl<D: Dialect> Backend for Streamed<D> {
    fn connect(&self, seat: Seat) -> Life {
        let dialect = self.0.clone();
        Box::pin(async move { carry(&*dialect, seat).await })
    }
}

/// Opens the connection and carries one request after the other, until it is lost.
async fn carry(dialect: &impl Dialect, mut seat: Seat) -> News {
    // A machine that vanished answers nothing: the connect has a time-out of its own.
    let limit = Duration::from_micros(seat.deployment.connect_timeout.max(1_000));
    let Ok(Ok(mut stream)) = tokio::time::timeout(limit, TcpStream::connect(seat.address)).await else {
        return News::Lost { written: false };
    };
    let _ = stream.set_nodelay(true);
    let aim = seat.deployment.settings.classes.iter().map(|class| class.aim).max().unwrap_or(0);
    let half_told = Duration::from_micros((aim / HALF_TOLD).clamp(10_000, 250_000));
    // Servers may hold values that are longer than what clients send through here: what bounds them is memory.
    let longest = (seat.memory.all() / 4).min(MAX_ANSWER);
    let host = seat.address.to_string();
    let mut buffer = BytesMut::new();
    let mut news = News::Up;
    loop {
        if !seat.tell(news).await {
            return News::Lost { written: false };
        }
        buffer.reserve(2048);
        let job = tokio::select! {
            // First: a connection that the server has ended is not written to, so that its request
            // surely never ran.
            biased;
            _ = stream.read_buf(&mut buffer) => return News::Lost { written: false },
            job = seat.jobs.recv() => job,
        };
        let Some(job) = job else { return News::Lost { written: false } };
        // The job's value lives on in the bytes only.
        let bytes = dialect.encode(&job, &host);
        drop(job);
        if stream.write_all(&bytes).await.is_err() {
            return News::Lost { written: false };
        }
        drop(bytes);
        let mut share = None;
        let reply = loop {
            // The rest of an answer comes with its beginning. Against lines and values that never end: one
            // that stands still half told is spoilt, and its request can still go elsewhere.
            let patience = if buffer.is_empty() { NO_END } else { half_told };
            let decoded = dialect.decode(&mut buffer, &seat.deployment.load_names, longest);
            match decoded {
                Ok(Some(reply)) => break reply,
                Ok(None) => {}
                Err(Broken) => return News::Spoilt,
            }
            // Against long answers that together are more than the memory: they wait their turn.
            if buffer.len() > 4096 && share.is_none() {
                let stated = dialect.stated(&buffer);
                let stated = stated.unwrap_or(0).clamp(MAX_VALUE, longest);
                share = Some(seat.memory.wait(2 * stated).await);
                buffer.reserve(stated);
            }
            buffer.reserve(2048);
            match tokio::time::timeout(patience, stream.read_buf(&mut buffer)).await {
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return News::Lost { written: true },
                Err(_) => return News::Spoilt,
            }
        };
        // Bytes beyond the answer belong to no request: nothing after them could be matched.
        let more = !buffer.is_empty() || stream.try_read(&mut [0]).is_ok();
        let keep = reply.keep && !more;
        buffer = BytesMut::new();
        news = News::Answer(Reply { keep, ..reply });
        if !keep {
            return news;
        }
    }
}
