//! Guards against an unintended change in the behavior of nodes: compares a digest of the history per seed,
//! with the daemon's own core in the simulated nodes. An intended change updates the digests, and its commit
//! says why.
#![allow(missing_docs)]

use stonevane_sim::{Options, Plan, run};

#[test]
fn histories_of_simulated_fleets_stay_the_same() {
    let seeds = 1..=EXPECTED.len() as u64;
    let digest = |seed| run(&Plan::generate(seed), Options { mutant: None, keeps_history: false }).digest;
    let digests: Vec<_> = seeds.map(|seed| format!("{:016x}", digest(seed))).collect();
    assert_eq!(digests, EXPECTED);
}

/// Digests of the histories, by seed from 1 on, as `stonevane sim replay SEED` prints them.
const EXPECTED: [&str; 16] = [
    "92d873ca232f6798",
    "65f8c8d80c2c30a2",
    "6afa53ab44b19661",
    "dcd89f39eb8b36c7",
    "4cf2c36f86e85c7f",
    "1b9bfabd795bd9ea",
    "db992bd0232481d9",
    "048ad411f081fb57",
    "2c6fe1ad0091f4b8",
    "904b29d860cb7a5e",
    "60a342cc4773eae3",
    "7b3225bd0f59e2b5",
    "e12b2aa7dbae0219",
    "cc566b29b53962fc",
    "da96a41fd97bfe30",
    "6f358a68522e5b34",
];
