//! Values, as servers and clients make them and histories hold them.

/// A value of a length: what is unique stands first, up to a space.
pub fn padded(value: &str, length: usize) -> String {
    let mut value = value.to_owned();
    value.push(' ');
    while value.len() < length {
        value.push('.');
    }
    value
}

/// A digest of an edit's value, as histories hold it: XXH3, 64 bits.
pub fn digest(value: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(value))
}
