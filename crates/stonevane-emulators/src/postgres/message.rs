//! Messages of the protocol: a kind, a length that includes itself, and a body.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::error::{SessionError, SqlError};
use super::statement::Column;

/// Longest message that is accepted, in bytes.
pub(super) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Length of the kind and the length field before a message's body, in bytes.
pub(super) const HEADER_BYTES: usize = 5;
/// Length of the length field, which includes itself, in bytes.
pub(super) const LENGTH_BYTES: usize = 4;

/// Codes of the first message: a protocol version, or a request in its place.
pub(super) mod startup {
    pub(in crate::postgres) const SSL_REQUEST: u32 = 80_877_103;
    pub(in crate::postgres) const CANCEL_REQUEST: u32 = 80_877_102;
    /// Protocol 3.0.
    pub(in crate::postgres) const VERSION_3: u32 = 196_608;
}

/// Kinds of messages from the client.
pub(super) mod frontend {
    pub(in crate::postgres) const QUERY: u8 = b'Q';
    pub(in crate::postgres) const PARSE: u8 = b'P';
    pub(in crate::postgres) const BIND: u8 = b'B';
    pub(in crate::postgres) const DESCRIBE: u8 = b'D';
    pub(in crate::postgres) const EXECUTE: u8 = b'E';
    pub(in crate::postgres) const CLOSE: u8 = b'C';
    pub(in crate::postgres) const SYNC: u8 = b'S';
    pub(in crate::postgres) const FLUSH: u8 = b'H';
    pub(in crate::postgres) const TERMINATE: u8 = b'X';
    /// Target kind of Describe and Close for a prepared statement.
    pub(in crate::postgres) const STATEMENT: u8 = b'S';
}

/// Kinds of messages to the client.
pub(super) mod backend {
    pub(in crate::postgres) const AUTHENTICATION: u8 = b'R';
    pub(in crate::postgres) const PARAMETER_STATUS: u8 = b'S';
    pub(in crate::postgres) const BACKEND_KEY_DATA: u8 = b'K';
    pub(in crate::postgres) const READY_FOR_QUERY: u8 = b'Z';
    pub(in crate::postgres) const PARSE_COMPLETE: u8 = b'1';
    pub(in crate::postgres) const BIND_COMPLETE: u8 = b'2';
    pub(in crate::postgres) const CLOSE_COMPLETE: u8 = b'3';
    pub(in crate::postgres) const PARAMETER_DESCRIPTION: u8 = b't';
    pub(in crate::postgres) const ROW_DESCRIPTION: u8 = b'T';
    pub(in crate::postgres) const NO_DATA: u8 = b'n';
    pub(in crate::postgres) const DATA_ROW: u8 = b'D';
    pub(in crate::postgres) const COMMAND_COMPLETE: u8 = b'C';
    pub(in crate::postgres) const ERROR_RESPONSE: u8 = b'E';
    pub(in crate::postgres) const NOTIFICATION_RESPONSE: u8 = b'A';
}

/// Object ids of the types that statements of the store use.
pub(super) mod oid {
    pub(in crate::postgres) const INT8: u32 = 20;
    pub(in crate::postgres) const TEXT: u32 = 25;
    pub(in crate::postgres) const BYTEA: u32 = 17;

    /// Returns the object id of a type name in a cast or a schema.
    pub(in crate::postgres) fn of_type(name: &str) -> u32 {
        match name.to_ascii_lowercase().as_str() {
            "bigint" | "int8" => INT8,
            "bytea" => BYTEA,
            _ => TEXT,
        }
    }
}

/// Encoding of values on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Format {
    Text,
    Binary,
}

impl Format {
    /// Returns the format for a format code in Bind.
    pub(super) fn of_code(code: i16) -> Format {
        if code == 1 { Format::Binary } else { Format::Text }
    }

    fn code(self) -> i16 {
        i16::from(self == Format::Binary)
    }
}

/// Key that identifies a session in cancel requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct BackendKey {
    pub(super) process_id: i32,
    pub(super) secret: i32,
}

/// Buffer of messages to the client that are not yet written.
#[derive(Default)]
pub(super) struct Outgoing {
    buffer: BytesMut,
}

impl Outgoing {
    /// Removes and returns all buffered bytes.
    pub(super) fn take(&mut self) -> BytesMut {
        self.buffer.split()
    }

    /// Removes `bytes` bytes from the end of the buffer.
    pub(super) fn truncate_by(&mut self, bytes: usize) {
        self.buffer.truncate(self.buffer.len() - bytes);
    }

    pub(super) fn message(&mut self, kind: u8, body: &[u8]) {
        self.buffer.put_u8(kind);
        self.buffer.put_u32((body.len() + LENGTH_BYTES) as u32);
        self.buffer.put_slice(body);
    }

    pub(super) fn authentication_ok(&mut self) {
        self.message(backend::AUTHENTICATION, &0u32.to_be_bytes());
    }

    pub(super) fn parameter_status(&mut self, name: &str, value: &str) {
        let mut body = BytesMut::new();
        put_string(&mut body, name);
        put_string(&mut body, value);
        self.message(backend::PARAMETER_STATUS, &body);
    }

    pub(super) fn backend_key(&mut self, key: BackendKey) {
        let mut body = BytesMut::new();
        body.put_i32(key.process_id);
        body.put_i32(key.secret);
        self.message(backend::BACKEND_KEY_DATA, &body);
    }

    pub(super) fn notification(&mut self, payload: &str) {
        let mut body = BytesMut::new();
        // Process id of the notifying session, which clients of the store ignore.
        body.put_i32(1);
        put_string(&mut body, "stonevane");
        put_string(&mut body, payload);
        self.message(backend::NOTIFICATION_RESPONSE, &body);
    }

    pub(super) fn error(&mut self, error: &SqlError) {
        let mut body = BytesMut::new();
        let fields =
            [(b'S', "ERROR"), (b'V', "ERROR"), (b'C', error.sqlstate), (b'M', error.message.as_str())];
        for (field, value) in fields {
            body.put_u8(field);
            put_string(&mut body, value);
        }
        body.put_u8(0);
        self.message(backend::ERROR_RESPONSE, &body);
    }

    pub(super) fn command_complete(&mut self, tag: &str) {
        let mut body = BytesMut::new();
        put_string(&mut body, tag);
        self.message(backend::COMMAND_COMPLETE, &body);
    }

    pub(super) fn parameter_description(&mut self, types: &[u32]) {
        let mut body = BytesMut::new();
        body.put_i16(types.len() as i16);
        for oid in types {
            body.put_u32(*oid);
        }
        self.message(backend::PARAMETER_DESCRIPTION, &body);
    }

    pub(super) fn row_description(&mut self, columns: &[Column], format: Format) {
        if columns.is_empty() {
            return self.message(backend::NO_DATA, b"");
        }
        let mut body = BytesMut::new();
        body.put_i16(columns.len() as i16);
        for column in columns {
            put_string(&mut body, &column.name);
            // No table object id and no attribute number.
            body.put_u32(0);
            body.put_i16(0);
            body.put_u32(column.oid);
            // Variable type size, no type modifier.
            body.put_i16(-1);
            body.put_i32(-1);
            body.put_i16(format.code());
        }
        self.message(backend::ROW_DESCRIPTION, &body);
    }
}

/// Writes a string with its terminating zero byte.
fn put_string(body: &mut BytesMut, value: &str) {
    body.put_slice(value.as_bytes());
    body.put_u8(0);
}

/// Reads a string up to its terminating zero byte.
pub(super) fn get_string(body: &mut Bytes) -> Result<String, SessionError> {
    let end = body.iter().position(|byte| *byte == 0).ok_or(SessionError::Ended)?;
    let text = body.split_to(end);
    body.advance(1);
    String::from_utf8(text.to_vec()).map_err(|_| SessionError::Ended)
}

/// Reads a two-byte integer.
pub(super) fn get_i16(body: &mut Bytes) -> Result<i16, SessionError> {
    (body.remaining() >= size_of::<i16>()).then(|| body.get_i16()).ok_or(SessionError::Ended)
}

/// Reads a value prefixed with its length; `None` for NULL.
pub(super) fn get_value(body: &mut Bytes) -> Result<Option<Bytes>, SessionError> {
    if body.remaining() < LENGTH_BYTES {
        return Err(SessionError::Ended);
    }
    match usize::try_from(body.get_i32()) {
        Err(_) => Ok(None),
        Ok(length) if length <= body.remaining() => Ok(Some(body.split_to(length))),
        Ok(_) => Err(SessionError::Ended),
    }
}
