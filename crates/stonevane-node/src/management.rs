//! The second address: takes calls, one to a connection, and hands them to the core. What the bytes mean is
//! `stonevane_core::management`'s to say.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use stonevane_core::management::{self, Answer, Call, MAX_HEAD};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::driver::Driver;

/// Callers at the same time.
const CALLERS: usize = 8;
/// Descriptors that all of this holds: the listener, the callers, and one that is just being taken or closed.
pub const SOCKETS: usize = CALLERS + 3;
/// A call has to be whole within this time, and its answer taken in as much again.
const PATIENCE: Duration = Duration::from_secs(4);
/// What stands behind a call is read for so long, so that no reset takes the answer away.
const LINGER: Duration = Duration::from_millis(100);

/// How far a caller has come: nothing said, a part, a whole call.
const SILENT: u8 = 0;
const BEGUN: u8 = 1;
const WHOLE: u8 = 2;

struct Caller {
    number: u64,
    stage: Arc<AtomicU8>,
    task: AbortHandle,
}

/// Those that hold a place, the oldest first.
type Callers = Arc<Mutex<VecDeque<Caller>>>;

/// Takes callers until the process ends.
pub async fn serve(listener: TcpListener, driver: Arc<Driver>) {
    let callers = Callers::default();
    for number in 0.. {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        let mut places = callers.lock().unwrap_or_else(PoisonError::into_inner);
        // Against callers that hold a place and say nothing: the oldest silent one goes, then the oldest that has not
        // said all.
        while places.len() >= CALLERS {
            let at = |stage| places.iter().position(|caller| caller.stage.load(Ordering::Relaxed) == stage);
            let goes = at(SILENT).or_else(|| at(BEGUN)).unwrap_or(0);
            places.remove(goes).inspect(|caller| caller.task.abort());
        }
        let stage = Arc::new(AtomicU8::new(SILENT));
        let (own, from, told) = (callers.clone(), driver.clone(), stage.clone());
        let call = async move {
            let _ = timeout(2 * PATIENCE, answer(stream, &from, &told)).await;
            let mut places = own.lock().unwrap_or_else(PoisonError::into_inner);
            places.retain(|caller| caller.number != number);
        };
        places.push_back(Caller { number, stage, task: tokio::spawn(call).abort_handle() });
    }
}

async fn answer(mut stream: TcpStream, driver: &Arc<Driver>, stage: &AtomicU8) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let called = match timeout(PATIENCE, read(&mut stream, stage)).await {
        Ok(called) => called?,
        Err(_) => Err(Answer::line(408, "no whole call in time")),
    };
    stage.store(WHOLE, Ordering::Relaxed);
    let answer = match called {
        Ok(call) => driver.answer(call),
        Err(answer) => answer,
    };
    stream.write_all(&answer.bytes()).await?;
    stream.shutdown().await?;
    let mut sink = [0; 512];
    let _ =
        timeout(LINGER, async { while stream.read(&mut sink).await.is_ok_and(|count| count > 0) {} }).await;
    Ok(())
}

async fn read(stream: &mut TcpStream, stage: &AtomicU8) -> std::io::Result<Result<Call, Answer>> {
    let mut bytes = Vec::with_capacity(512);
    let mut piece = [0; 1024];
    loop {
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        stage.store(BEGUN, Ordering::Relaxed);
        bytes.extend_from_slice(&piece[..count]);
        match management::read(&bytes) {
            Ok(None) if bytes.len() > 2 * MAX_HEAD => {
                return Ok(Err(Answer::line(413, "the call is too long")));
            }
            Ok(None) => {}
            Ok(Some(call)) => return Ok(Ok(call)),
            Err(answer) => return Ok(Err(answer)),
        }
    }
}
