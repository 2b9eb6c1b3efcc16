//! Values that servers and clients create and that histories record.

/// Pads a value with dots to `length` bytes. Its unique part comes first and ends with a space. A value that
/// is longer already is not truncated.
pub fn padded(value: &str, length: usize) -> String {
    let mut padded = format!("{value} ");
    let padding = length.saturating_sub(padded.len());
    padded.extend(std::iter::repeat_n('.', padding));
    padded
}

/// Returns the digest of a written value as histories record it: 64 bits of XXH3 in hexadecimal.
pub fn digest(value: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(value))
}
