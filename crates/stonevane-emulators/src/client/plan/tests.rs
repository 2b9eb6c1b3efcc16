use super::*;
use crate::client::{LoadClass, LoadPeak, Tenant};

fn load() -> Load {
    let class = |name: &str, share, write| LoadClass {
        name: name.into(),
        share,
        deadline_ms: 500,
        write,
        idempotent: write,
        retries_failures: true,
        value_len: 8,
    };
    let tenant = |name: &str, share| Tenant { name: name.into(), share };
    let classes = vec![class("read", 0.9, false), class("edit", 0.1, true)];
    Load {
        requests_per_s: 2_000.0,
        classes,
        tenants: vec![tenant("a", 0.75), tenant("b", 0.25)],
        ..Load::default()
    }
}

#[test]
fn the_same_seed_draws_the_same_load_and_another_seed_a_different_one() {
    assert_eq!(plan(&load(), 4, 7), plan(&load(), 4, 7));
    assert_ne!(plan(&load(), 4, 7), plan(&load(), 4, 8));
}

#[test]
fn a_load_matches_its_rate_shares_popularity_and_peaks() {
    let planned = plan(&load(), 4, 7);
    let share_of = |matches: &dyn Fn(&Planned) -> bool| {
        planned.iter().filter(|p| matches(p)).count() as f64 / planned.len() as f64
    };
    assert!((5_500..6_500).contains(&planned.len()), "{} of about 6000", planned.len());
    assert!((0.07..0.13).contains(&share_of(&|p| p.class == 1)));
    assert!((0.70..0.80).contains(&share_of(&|p| p.tenant == 0)));
    let (first, last) = (share_of(&|p| p.key == key(0)), share_of(&|p| p.key == key(499)));
    assert!(first > 5.0 * last, "{first} against {last}");
    assert!(planned.windows(2).all(|p| p[0].at_us <= p[1].at_us));
    assert!(plan(&Load { requests_per_s: 0.0, ..load() }, 4, 7).is_empty());
    // Twice the rate during one third of the load.
    let peak = LoadPeak { at_ms: 1_000, duration_ms: 1_000, times: 2.0 };
    let with_peak = plan(&Load { peaks: vec![peak], ..load() }, 4, 7);
    let within = with_peak.iter().filter(|p| (1_000_000..2_000_000).contains(&p.at_us)).count();
    assert!((3_600..4_400).contains(&within), "{within} of about 4000");
    assert!((7_400..8_600).contains(&with_peak.len()), "{} of about 8000", with_peak.len());
}
