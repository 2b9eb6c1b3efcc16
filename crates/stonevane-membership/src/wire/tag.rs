//! The tag that ends a datagram: a keyed digest where the fleet has a key, else a checksum.

/// Bytes of the checksum.
const CHECKSUM: usize = 8;
/// Bytes of the keyed digest.
const KEYED: usize = 16;

/// Bytes of the tag.
pub(super) fn length(keyed: bool) -> usize {
    if keyed { KEYED } else { CHECKSUM }
}

/// Appends the tag: a keyed digest, or a checksum where there is no key.
pub(super) fn append(bytes: &mut Vec<u8>, key: Option<&[u8; 32]>) {
    match key {
        Some(key) => {
            let tag = blake3::keyed_hash(key, bytes);
            bytes.extend_from_slice(&tag.as_bytes()[..KEYED]);
        }
        None => bytes.extend_from_slice(&xxhash_rust::xxh3::xxh3_64(bytes).to_le_bytes()),
    }
}

/// The bytes before the tag, if the tag is correct.
pub(super) fn verify<'b>(bytes: &'b [u8], key: Option<&[u8; 32]>) -> Option<&'b [u8]> {
    let length = length(key.is_some());
    let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(length)?)?;
    let correct = match key {
        // `blake3::Hash` compares in constant time.
        Some(key) => {
            let mut expected = *blake3::keyed_hash(key, body).as_bytes();
            expected[KEYED..].fill(0);
            let mut received = [0; 32];
            received[..KEYED].copy_from_slice(tag);
            blake3::Hash::from(expected) == blake3::Hash::from(received)
        }
        None => xxhash_rust::xxh3::xxh3_64(body).to_le_bytes() == tag,
    };
    correct.then_some(body)
}
