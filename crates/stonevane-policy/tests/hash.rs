//! The quick hash of one key with many servers gives the same numbers as the hash itself.
#![allow(missing_docs)]

use proptest::prelude::*;
use stonevane_policy::hash::{KeyHasher, unit_hash};

proptest! {
    #[test]
    fn the_key_hasher_gives_the_same_hashes(key: u64, server: u32) {
        let draw = KeyHasher::new(key).of(server);
        prop_assert_eq!(draw, unit_hash(key, server, 0));
        prop_assert!(0.0 < draw && draw < 1.0);
    }
}
