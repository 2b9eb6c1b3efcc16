//! Hosts instances of the policy for the simulator, which writes batches to standard input and reads replies
//! from standard output. The adapter translates records and makes no decision itself.

mod codec;
mod host;

use std::io::{self, Read, Write};
use std::process::ExitCode;

use codec::{BATCH_HEADER_BYTES, BatchHeader, CodecError};
use host::{BatchError, Host};

/// Error that ends the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("reading the input failed: {0}")]
    Read(io::Error),
    #[error("writing the output failed: {0}")]
    Write(io::Error),
    #[error("truncated frame: input ended within a batch header")]
    TruncatedHeader,
    #[error("truncated frame: body of batch {batch} ended after {received} bytes")]
    TruncatedBody { batch: u32, received: usize },
    #[error(transparent)]
    Header(#[from] CodecError),
    #[error(transparent)]
    Batch(#[from] BatchError),
}

/// Fills `buffer` from the input. Returns `false` if the input ended before the first byte was read.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, RunError> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err(RunError::TruncatedHeader),
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(RunError::Read(error)),
        }
    }
    Ok(true)
}

/// Reads the body of a batch. Reads through `take` so that a wrong length in the header does not reserve
/// memory for bytes that never arrive.
fn read_body(input: &mut impl Read, header: BatchHeader, body: &mut Vec<u8>) -> Result<(), RunError> {
    body.clear();
    let received = input.take(header.length as u64).read_to_end(body).map_err(RunError::Read)?;
    if received < header.length {
        return Err(RunError::TruncatedBody { batch: header.number, received });
    }
    Ok(())
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), RunError> {
    let mut host = Host::default();
    let mut header_bytes = [0u8; BATCH_HEADER_BYTES];
    let (mut body, mut frame) = (Vec::new(), Vec::new());
    while fill(input, &mut header_bytes)? {
        let header = BatchHeader::read(&header_bytes)?;
        read_body(input, header, &mut body)?;
        host.process(header, &body, &mut frame)?;
        output.write_all(&frame).and_then(|()| output.flush()).map_err(RunError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stonevane-wire-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
