//! Values, as servers and clients make them and histories record them.

/// Fills a value up to a length, in bytes: its unique part stands first, up to a space.
pub fn padded(value: &str, length: usize) -> String {
    let mut padded = format!("{value} ");
    let filling = length.saturating_sub(padded.len());
    padded.extend(std::iter::repeat_n('.', filling));
    padded
}

/// A digest of a write's value, as histories record it: XXH3, 64 bits.
pub fn digest(value: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(value))
}
