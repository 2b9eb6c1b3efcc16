//! RESP2 as clients speak it: commands are read, final answers are worded.

use bytes::{Bytes, BytesMut};
use stonevane_codec::resp;
use stonevane_policy::settings::Deployment;
use stonevane_policy::{Idempotency, Micros};

use crate::request::{Command, Final};

/// The longest key, id and list of facts.
const MAX_WORD: usize = 512;
/// The longest wait that a client may state, in milliseconds, unless its class allows for a longer one.
const MAX_WAIT_MS: f64 = 60_000.0;

/// What a client's words ask for.
// Moved once and never kept: a box would cost each request an allocation.
#[allow(clippy::large_enum_variant)]
pub enum Asked {
    /// Whether the node serves.
    Ping,
    /// A read or a write.
    Command(Command),
}

/// Reads a whole command.
///
/// # Errors
/// What is wrong with it, for its client.
pub fn read(words: &[Bytes], deployment: &Deployment) -> Result<Asked, &'static str> {
    let named = |name: &[u8]| words.first().is_some_and(|word| word.eq_ignore_ascii_case(name));
    match () {
        () if named(b"OBJ.GET") => parse(words, false, deployment).map(Asked::Command),
        () if named(b"OBJ.SET") => parse(words, true, deployment).map(Asked::Command),
        () if named(b"PING") => Ok(Asked::Ping),
        () => Err("unknown command"),
    }
}

/// A final answer in RESP2.
pub fn word(says: Final) -> Bytes {
    match says {
        Final::Served(value) => {
            let mut out = BytesMut::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out.freeze()
        }
        Final::Refused { retry_after: 0 } => Bytes::from_static(b"-BUSY\r\n"),
        Final::Refused { retry_after } => format!("-BUSY {}\r\n", retry_after.div_ceil(1_000)).into(),
        Final::Failed => Bytes::from_static(b"-ERR failed\r\n"),
    }
}

/// Reads a command's words. Against requests that mean nothing, or one thing here and another at a server:
/// each fact stands there once, and those that are known can be read.
fn parse(words: &[Bytes], write: bool, deployment: &Deployment) -> Result<Command, &'static str> {
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    // What goes on to a server must not break its framing there.
    let plain =
        |word: &Bytes| !word.is_empty() && word.len() <= MAX_WORD && word.iter().all(u8::is_ascii_graphic);
    if !words[1..4].iter().all(plain) {
        return Err("invalid key, id or facts");
    }
    let facts = String::from_utf8_lossy(&words[3]).into_owned();
    let (mut class, mut tenant, mut wait, mut keyed) = (None, None, None, false);
    let mut command = Command { write, key: words[1].clone(), id: words[2].clone(), ..Command::default() };
    let mut seen: Vec<&str> = Vec::new();
    for fact in facts.split(',') {
        let (name, value) = fact.split_once('=').ok_or("invalid facts")?;
        if name.is_empty() || seen.contains(&name) {
            return Err("a fact without a name or given twice");
        }
        seen.push(name);
        let place = |names: &[String]| names.iter().position(|known| known == value);
        match name {
            "c" => class = Some(place(&deployment.classes).ok_or("unknown class")?),
            "t" if !deployment.tenants.is_empty() => {
                tenant = Some(place(&deployment.tenants).ok_or("unknown tenant")?);
            }
            "d" => wait = Some(number(value).ok_or("invalid d")?),
            "k" => keyed = !value.is_empty(),
            "r" => command.repeat = matches!(value, "0" | "1").then_some(value == "1").ok_or("invalid r")?,
            "h" => command.cost = Some(number(value).ok_or("invalid h")? as Micros),
            "size" => command.size = number(value).ok_or("invalid size")? as f32,
            _ => {}
        }
    }
    command.class = class.ok_or("no class")?;
    if tenant.is_none() && !deployment.tenants.is_empty() {
        return Err("no tenant");
    }
    command.tenant = tenant.unwrap_or(0);
    let class = &deployment.settings.classes[command.class];
    (command.rules, command.most) = (*class, deployment.settings.max_attempts);
    if write && matches!(class.idempotency, Idempotency::WithKey { .. }) && !keyed {
        return Err("no k for a keyed write");
    }
    let wait = wait.ok_or("no d")?;
    if wait > MAX_WAIT_MS.max(class.deadline as f64 / 1e3) {
        return Err("invalid d");
    }
    // Nobody waits for longer than the class allows for, whatever is said.
    command.time_left = ((wait * 1e3) as Micros).min(class.deadline);
    command.value = words.get(4).cloned();
    command.facts = facts;
    Ok(command)
}

/// A plain decimal number: no sign, no exponent, no word such as `nan`.
fn number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| plain && text.len() <= 16 && number.is_finite())
}
