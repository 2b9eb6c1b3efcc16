//! RESP2 on client connections: decodes commands and encodes final answers.

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp;
use stonevane_policy::settings::Deployment;
use stonevane_policy::{Idempotency, Micros};
use thiserror::Error;

use crate::request::{Command, FinalAnswer};

/// Longest key, id or parameter list, in bytes.
const MAX_ARGUMENT_BYTES: usize = 512;
/// Longest wait that a client may state, in milliseconds, unless the deadline of its class is longer.
const MAX_WAIT_MS: f64 = 60_000.0;
/// Longest number in a parameter, in bytes.
const MAX_NUMBER_BYTES: usize = 16;
/// Number of arguments of a read: name, key, id, parameters.
const READ_ARGUMENT_COUNT: usize = 4;
/// Number of arguments of a write: those of a read and the value.
const WRITE_ARGUMENT_COUNT: usize = 5;
/// Space reserved for the framing of a bulk string, in bytes.
const BULK_FRAMING_BYTES: usize = 16;

/// Reason why a command is invalid. The message is part of the error reply to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CommandError {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    ArgumentCount,
    #[error("invalid key, id or facts")]
    InvalidArgument,
    #[error("invalid facts")]
    InvalidParameters,
    #[error("a fact without a name or given twice")]
    DuplicateParameter,
    #[error("unknown class")]
    UnknownClass,
    #[error("unknown tenant")]
    UnknownTenant,
    #[error("invalid d")]
    InvalidWait,
    #[error("invalid r")]
    InvalidRetryFlag,
    #[error("invalid h")]
    InvalidCost,
    #[error("invalid size")]
    InvalidSize,
    #[error("no class")]
    NoClass,
    #[error("no tenant")]
    NoTenant,
    #[error("no d")]
    NoWait,
    #[error("no k for a keyed write")]
    NoIdempotencyKey,
}

/// A decoded client command.
#[expect(clippy::large_enum_variant, reason = "a box would cost each request an allocation")]
pub enum ClientCommand {
    /// Health check: whether the node is ready to serve.
    Ping,
    /// A read or a write.
    Request(Command),
}

/// Decodes a complete command.
///
/// # Errors
/// If the command or its arguments are invalid.
pub fn decode(arguments: &[Bytes], deployment: &Deployment) -> Result<ClientCommand, CommandError> {
    let is = |name: &[u8]| arguments.first().is_some_and(|argument| argument.eq_ignore_ascii_case(name));
    if is(b"OBJ.GET") {
        decode_request(arguments, false, deployment).map(ClientCommand::Request)
    } else if is(b"OBJ.SET") {
        decode_request(arguments, true, deployment).map(ClientCommand::Request)
    } else if is(b"PING") {
        Ok(ClientCommand::Ping)
    } else {
        Err(CommandError::UnknownCommand)
    }
}

/// Encodes a final answer as a RESP2 reply.
pub fn encode(answer: &FinalAnswer) -> Bytes {
    match answer {
        FinalAnswer::Served(value) => {
            let mut out = BytesMut::with_capacity(value.len() + BULK_FRAMING_BYTES);
            resp::put_bulk(&mut out, value);
            out.freeze()
        }
        FinalAnswer::Rejected { retry_after: 0 } => Bytes::from_static(b"-BUSY\r\n"),
        FinalAnswer::Rejected { retry_after } => format!("-BUSY {}\r\n", retry_after.div_ceil(1_000)).into(),
        FinalAnswer::Failed => Bytes::from_static(b"-ERR failed\r\n"),
    }
}

/// Whether an argument can be forwarded to a server without breaking the framing of the server's protocol.
fn is_plain(argument: &Bytes) -> bool {
    let length = 1..=MAX_ARGUMENT_BYTES;
    length.contains(&argument.len()) && argument.iter().all(u8::is_ascii_graphic)
}

fn decode_request(
    arguments: &[Bytes],
    write: bool,
    deployment: &Deployment,
) -> Result<Command, CommandError> {
    if arguments.len() != if write { WRITE_ARGUMENT_COUNT } else { READ_ARGUMENT_COUNT } {
        return Err(CommandError::ArgumentCount);
    }
    if !arguments[1..READ_ARGUMENT_COUNT].iter().all(is_plain) {
        return Err(CommandError::InvalidArgument);
    }
    let parameter_text = String::from_utf8_lossy(&arguments[3]).into_owned();
    let key = arguments[1].clone();
    let id = arguments[2].clone();
    let mut command = Command { write, key, id, ..Command::default() };
    let parameters = Parameters::parse(&parameter_text, deployment, &mut command)?;
    command.class = parameters.class.ok_or(CommandError::NoClass)?;
    if parameters.tenant.is_none() && !deployment.tenants.is_empty() {
        return Err(CommandError::NoTenant);
    }
    command.tenant = parameters.tenant.unwrap_or(0);
    let class = &deployment.settings.classes[command.class];
    command.rules = *class;
    command.max_attempts = deployment.settings.max_attempts;
    if write && matches!(class.idempotency, Idempotency::WithKey { .. }) && !parameters.has_idempotency_key {
        return Err(CommandError::NoIdempotencyKey);
    }
    let wait_ms = parameters.wait_ms.ok_or(CommandError::NoWait)?;
    if wait_ms > MAX_WAIT_MS.max(class.deadline as f64 / 1e3) {
        return Err(CommandError::InvalidWait);
    }
    // The deadline of the class bounds the wait that the client states.
    command.time_left = ((wait_ms * 1e3) as Micros).min(class.deadline);
    command.value = arguments.get(READ_ARGUMENT_COUNT).cloned();
    command.parameters = parameter_text;
    Ok(command)
}

/// Parameters that are checked together once all of them are parsed.
#[derive(Default)]
struct Parameters {
    class: Option<usize>,
    tenant: Option<usize>,
    wait_ms: Option<f64>,
    has_idempotency_key: bool,
}

impl Parameters {
    /// Parses all parameters and stores those that need no further check in the command. A name may appear
    /// only once: the node and a server could otherwise use different values of it.
    fn parse(text: &str, deployment: &Deployment, command: &mut Command) -> Result<Parameters, CommandError> {
        let mut parameters = Parameters::default();
        let mut seen: Vec<&str> = Vec::new();
        for parameter in text.split(',') {
            let (name, value) = parameter.split_once('=').ok_or(CommandError::InvalidParameters)?;
            if name.is_empty() || seen.contains(&name) {
                return Err(CommandError::DuplicateParameter);
            }
            seen.push(name);
            let position = |names: &[String]| names.iter().position(|listed| listed == value);
            match name {
                "c" => {
                    let class = position(&deployment.classes).ok_or(CommandError::UnknownClass)?;
                    parameters.class = Some(class);
                }
                "t" if !deployment.tenants.is_empty() => {
                    let tenant = position(&deployment.tenants).ok_or(CommandError::UnknownTenant)?;
                    parameters.tenant = Some(tenant);
                }
                "d" => parameters.wait_ms = Some(number(value).ok_or(CommandError::InvalidWait)?),
                "k" => parameters.has_idempotency_key = !value.is_empty(),
                "r" => command.is_retry = flag(value).ok_or(CommandError::InvalidRetryFlag)?,
                "h" => command.cost = Some(number(value).ok_or(CommandError::InvalidCost)? as Micros),
                "size" => command.size = number(value).ok_or(CommandError::InvalidSize)? as f32,
                _ => {}
            }
        }
        Ok(parameters)
    }
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    }
}

/// Parses a plain decimal number without sign, exponent or a special value such as `nan`.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| plain && text.len() <= MAX_NUMBER_BYTES && number.is_finite())
}
