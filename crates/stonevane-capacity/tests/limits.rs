//! Memory and size limits of measurements.
#![allow(missing_docs)]

use stonevane_capacity::limits::{MachineMemory, TooMuchMemory, check};
use stonevane_capacity::roles::{Conditions, MeasureError, Role};

const GIGABYTE: u64 = 1 << 30;

#[test]
fn half_of_the_memory_is_allowed_but_at_most_what_is_available() {
    let text = "MemTotal:       25165824 kB\nMemFree:  100 kB\nMemAvailable:   20971520 kB\n";
    let memory = MachineMemory::parse(text).unwrap();
    assert_eq!(memory, MachineMemory { total: 24 * GIGABYTE, available: 20 * GIGABYTE });
    assert_eq!(memory.allowed_bytes(), 12 * GIGABYTE);
    let busy = MachineMemory { available: 3 * GIGABYTE, ..memory };
    assert_eq!(busy.allowed_bytes(), 3 * GIGABYTE);
    assert_eq!(MachineMemory::parse("MemTotal: 1 kB\n"), None);
    assert_eq!(MachineMemory::parse("MemTotal: x kB\nMemAvailable: 1 kB\n"), None);
}

#[test]
fn the_memory_error_is_one_line_with_size_need_and_limit() {
    assert_eq!(check(300, 5, 5), Ok(()));
    let error = check(18_000, 99 * GIGABYTE, 12 * GIGABYTE).unwrap_err();
    assert_eq!(error, TooMuchMemory { size: 18_000, needed: 99 * GIGABYTE, allowed: 12 * GIGABYTE });
    let message = error.to_string();
    assert_eq!(message, "size 18000 needs 101376 MB of memory, and at most 12288 MB may be taken");
}

#[test]
fn a_full_fleet_of_the_target_size_is_rejected_before_it_is_built() {
    let full = Conditions { seed: 1, memory_limit_bytes: 12 * GIGABYTE, full_up_to: 18_000 };
    let error = Role::Membership.measure(18_000, &full).unwrap_err();
    assert!(matches!(error, MeasureError::Memory(TooMuchMemory { size: 18_000, .. })), "{error}");
    // A sampled fleet of the same size, with modelled peers, fits.
    let sampled = Conditions { full_up_to: 3_000, ..full };
    assert_eq!(Role::Membership.check(18_000, &sampled), Ok(()));
}

#[test]
fn the_memory_limit_is_also_checked_while_a_fleet_runs() {
    // The limit equals the fleet's estimate, so the check before the start passes, but the allocation alone
    // exceeds it.
    let conditions =
        Conditions { seed: 1, memory_limit_bytes: Role::Membership.required_memory(5, &FULL), full_up_to: 5 };
    let allocation = vec![1u8; conditions.memory_limit_bytes as usize + (1 << 20)];
    let error = Role::Membership.measure(5, &conditions).unwrap_err();
    assert!(matches!(error, MeasureError::Memory(_)), "{error}");
    assert_eq!(allocation.iter().map(|byte| u64::from(*byte)).sum::<u64>(), allocation.len() as u64);
}

const FULL: Conditions = Conditions { seed: 1, memory_limit_bytes: u64::MAX, full_up_to: 5 };

#[test]
fn every_role_rejects_sizes_out_of_bounds() {
    let conditions = Conditions { seed: 1, memory_limit_bytes: u64::MAX, full_up_to: 300 };
    for role in Role::ALL {
        assert_eq!(Role::from_name(role.name()), Some(role));
        for size in [0, role.smallest() - 1, role.largest() + 1] {
            let error = role.measure(size, &conditions).unwrap_err();
            assert!(matches!(error, MeasureError::Size { .. }), "{error}");
            assert!(!error.to_string().contains('\n'));
        }
    }
    assert_eq!(Role::from_name("nodes"), None);
}
