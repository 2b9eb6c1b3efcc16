//! Tag at the end of a datagram: a keyed digest if the fleet has a key, otherwise a checksum.

/// Bytes of the XXH3 checksum.
const CHECKSUM_BYTES: usize = 8;
/// Bytes of the keyed BLAKE3 digest, which is truncated from 32 bytes.
const KEYED_DIGEST_BYTES: usize = 16;

/// Returns the bytes of the tag.
pub(super) fn length(keyed: bool) -> usize {
    if keyed { KEYED_DIGEST_BYTES } else { CHECKSUM_BYTES }
}

/// Appends the tag: a keyed digest, or a checksum without a key.
pub(super) fn append(bytes: &mut Vec<u8>, key: Option<&[u8; 32]>) {
    match key {
        Some(key) => {
            let tag = blake3::keyed_hash(key, bytes);
            bytes.extend_from_slice(&tag.as_bytes()[..KEYED_DIGEST_BYTES]);
        }
        None => bytes.extend_from_slice(&xxhash_rust::xxh3::xxh3_64(bytes).to_le_bytes()),
    }
}

/// Returns the bytes before the tag if the tag is correct.
pub(super) fn verify<'b>(bytes: &'b [u8], key: Option<&[u8; 32]>) -> Option<&'b [u8]> {
    let length = length(key.is_some());
    let (body, tag) = bytes.split_at_checked(bytes.len().checked_sub(length)?)?;
    let correct = match key {
        // `blake3::Hash` compares in constant time.
        Some(key) => {
            let mut expected = *blake3::keyed_hash(key, body).as_bytes();
            expected[KEYED_DIGEST_BYTES..].fill(0);
            let mut received = [0; 32];
            received[..KEYED_DIGEST_BYTES].copy_from_slice(tag);
            blake3::Hash::from(expected) == blake3::Hash::from(received)
        }
        None => xxhash_rust::xxh3::xxh3_64(body).to_le_bytes() == tag,
    };
    correct.then_some(body)
}
