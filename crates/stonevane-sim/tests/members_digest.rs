//! Guards against an unintended change in the behavior of members or their simulated network: compares a
//! digest of all datagrams per seed. An intended change updates the digests, and its commit says why.
#![allow(missing_docs)]

use stonevane_sim::members::{MemberOptions, MemberPlan, run};

#[test]
fn datagrams_of_simulated_fleets_of_members_stay_the_same() {
    let seeds = 1..=EXPECTED.len() as u64;
    let digest = |seed| run(&MemberPlan::generate(seed), MemberOptions::default()).digest;
    let digests: Vec<_> = seeds.map(|seed| format!("{:016x}", digest(seed))).collect();
    assert_eq!(digests, EXPECTED);
}

/// Digests of the datagrams, by seed from 1 on.
const EXPECTED: [&str; 48] = [
    "f05741402381dba9",
    "2c658471c764800a",
    "e8be9de7b5c682c7",
    "f8501899ca0bddf4",
    "5ee46b7e621d4c8b",
    "e18a7167976650ee",
    "78f6593984aa2845",
    "4f1ad0297013420b",
    "ede2a42fa0aecb68",
    "af7b7a01273b1af1",
    "81b61b28809fc9fa",
    "0c924e88c2fd25b9",
    "44797d5d6ccfcab6",
    "14d8080e384c8006",
    "bbeb1e3f9de3fe6e",
    "c85cbe12c1095ae2",
    "c5efab29643f39ad",
    "755bedcdf8fffe3d",
    "f54ca7d132b4c3fb",
    "69f5d0b02bb7f03c",
    "0ec5f42dd3aa40a3",
    "2a91feccb8b924fa",
    "ad61b44f087953b9",
    "7bfa156c88293831",
    "f11a7c6ed1a1b5a4",
    "0503e1da97cbcb6e",
    "18fb8d363c51122c",
    "7c54f2fc5982f025",
    "4b927a932289d5fa",
    "ff68b715f74a2d10",
    "a0fd90773cb56ab4",
    "ac736f390e17d160",
    "fef84b2bbaf02f2f",
    "92f432e35d443a7f",
    "79fb6c9a7aa05e6c",
    "ce1932ea51144c03",
    "9128bff21b22c81d",
    "d9f5aa11d6ae920f",
    "b4b4edc743f47343",
    "89d1f5d1d81fe508",
    "cffb8d5538106634",
    "b010dc957cc6e3f4",
    "34a58c1f8516d36a",
    "1005c5316afa3c45",
    "8b22ddb869157d67",
    "365392f12ae4786a",
    "f176a7e5b7e36637",
    "1b99f12ac3656fb5",
];
