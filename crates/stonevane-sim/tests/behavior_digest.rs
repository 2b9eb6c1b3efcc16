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
    "8a810d53e1f4c15a",
    "50e10e12be63eb12",
    "6afa53ab44b19661",
    "334657b126cf5047",
    "0560e0a427b85027",
    "2e705c373bd4f036",
    "db992bd0232481d9",
    "aadc8baa6d4aaa90",
    "2c6fe1ad0091f4b8",
    "acf6e102b8f03edf",
    "6cbf2552231924ef",
    "910bc4f3618f6f34",
    "73e38385485cbd30",
    "3121dd8f97d91d17",
    "d3fe441ad85389f9",
    "c51022bdc572e755",
];
