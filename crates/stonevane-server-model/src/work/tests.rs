use super::*;

#[test]
fn work_queues_on_the_core_that_is_free_first_and_is_turned_away_past_the_limit() {
    let mut cores = Cores::new(2);
    assert_eq!(cores.take(0, 10, 5), Some(10));
    assert_eq!(cores.take(0, 4, 5), Some(4));
    assert_eq!(cores.take(0, 10, 5), Some(14), "waits 4");
    assert_eq!(cores.take(0, 1, 5), None, "would wait 10");
    cores.stop_until(100);
    assert_eq!(cores.take(50, 1, 60), Some(101));
}

#[test]
fn drawn_work_has_its_mean_and_its_variation_and_is_the_same_for_the_same_request() {
    let drawn: Vec<f64> = (0..20_000).map(|i| drawn(100_000, 0.5, &format!("r{i}")) as f64).collect();
    let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
    let cv = (drawn.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / drawn.len() as f64).sqrt() / mean;
    assert!((97_000.0..103_000.0).contains(&mean) && (0.45..0.55).contains(&cv), "{mean} {cv}");
    assert_eq!(super::drawn(100, 0.5, "a"), super::drawn(100, 0.5, "a"));
    assert_eq!(super::drawn(100, 0.0, "a"), 100);
}

#[test]
fn a_window_holds_what_came_within_it_and_remembers_its_peak() {
    let mut window = Window::default();
    assert_eq!([window.add(0, 3, 10), window.add(10, 4, 10), window.add(11, 5, 10)], [3, 7, 9]);
    window.clear();
    assert_eq!((window.add(12, 1, 10), window.peak), (1, 9));
}

#[test]
fn a_cold_server_is_able_to_do_its_share_at_first_and_all_when_warm() {
    let at = |from| work_capacity(1e6, 0.5, 0, 1_000, from, 1);
    assert!((at(0) - 0.5).abs() < 0.01 && (at(500) - 0.75).abs() < 0.01 && (at(2_000) - 1.0).abs() < 1e-9);
}
