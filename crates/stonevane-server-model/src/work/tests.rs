use super::*;

#[test]
fn work_queues_on_the_core_that_is_free_first_and_is_rejected_past_the_wait_limit() {
    let mut cores = Cores::new(2);
    assert_eq!(cores.take(0, 10, 5), Some(10));
    assert_eq!(cores.take(0, 4, 5), Some(4));
    assert_eq!(cores.take(0, 10, 5), Some(14), "waits 4 us");
    assert_eq!(cores.take(0, 1, 5), None, "would wait 10 us");
    cores.stop_until(100);
    assert_eq!(cores.take(50, 1, 60), Some(101));
}

#[test]
fn drawn_work_has_the_given_mean_and_variation_and_depends_only_on_the_request() {
    let drawn: Vec<f64> =
        (0..20_000).map(|i| request_work_us(100_000, 0.5, &format!("r{i}")) as f64).collect();
    let mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
    let cv = (drawn.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / drawn.len() as f64).sqrt() / mean;
    assert!((97_000.0..103_000.0).contains(&mean) && (0.45..0.55).contains(&cv), "{mean} {cv}");
    assert_eq!(super::request_work_us(100, 0.5, "a"), super::request_work_us(100, 0.5, "a"));
    assert_eq!(super::request_work_us(100, 0.0, "a"), 100);
}

#[test]
fn a_window_sums_the_work_within_it_and_keeps_its_peak_when_cleared() {
    let mut window = WorkWindow::default();
    assert_eq!([window.add(0, 3, 10), window.add(10, 4, 10), window.add(11, 5, 10)], [3, 7, 9]);
    window.clear();
    assert_eq!((window.add(12, 1, 10), window.peak_us), (1, 9));
}

#[test]
fn capacity_rises_from_the_cold_share_to_all_while_a_server_warms_up() {
    let at = |from| work_capacity(1e6, 0.5, 0, 1_000, from, 1);
    assert!((at(0) - 0.5).abs() < 0.01 && (at(500) - 0.75).abs() < 0.01 && (at(2_000) - 1.0).abs() < 1e-9);
}
