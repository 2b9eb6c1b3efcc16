//! Guards against a difference between `KeyHasher`, which hashes one key with many servers, and `unit_hash`.
#![allow(missing_docs)]

use proptest::prelude::*;
use stonevane_policy::hash::{KeyHasher, unit_hash};

proptest! {
    #[test]
    fn the_key_hasher_equals_the_unit_hash(key: u64, server: u32) {
        let hash = KeyHasher::new(key).unit_hash(server);
        prop_assert_eq!(hash, unit_hash(key, server, 0));
        prop_assert!(0.0 < hash && hash < 1.0);
    }
}
