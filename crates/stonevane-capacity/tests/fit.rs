//! Least-squares fits of known points, and the first deviation from a line.
#![allow(missing_docs)]

use stonevane_capacity::fit::{Point, exponent, first_deviation, line};

/// Points of a function at some sizes.
fn points_of(sizes: &[f64], function: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|size| (*size, function(*size))).collect()
}

const SIZES: [f64; 5] = [300.0, 1_000.0, 3_000.0, 9_000.0, 18_000.0];

fn assert_near(found: f64, expected: f64) {
    assert!((found - expected).abs() <= 1e-9 * expected.abs().max(1.0), "found {found}, expected {expected}");
}

#[test]
fn fitting_the_points_of_a_line_returns_that_line() {
    let found = line(&points_of(&SIZES, |size| 7.0 + 0.25 * size)).unwrap();
    assert_near(found.slope, 0.25);
    assert_near(found.intercept, 7.0);
    assert!(found.residual < 1e-9, "{}", found.residual);
    assert_near(found.at(100_000.0), 25_007.0);
}

#[test]
fn the_least_squares_line_matches_a_worked_example() {
    // By hand: means 3 and 4, slope 6 / 10, intercept 2.2, sum of squared distances 2.4.
    let points = [(1.0, 2.0), (2.0, 4.0), (3.0, 5.0), (4.0, 4.0), (5.0, 5.0)];
    let found = line(&points).unwrap();
    assert_near(found.slope, 0.6);
    assert_near(found.intercept, 2.2);
    assert_near(found.residual, (2.4f64 / 5.0).sqrt());
}

#[test]
fn exponents_distinguish_constant_linear_and_quadratic_curves() {
    assert_near(exponent(&points_of(&SIZES, |_| 96.0)).unwrap(), 0.0);
    assert_near(exponent(&points_of(&SIZES, |size| 3.0 * size)).unwrap(), 1.0);
    assert_near(exponent(&points_of(&SIZES, |size| 0.001 * size * size)).unwrap(), 2.0);
    assert_eq!(exponent(&[(1.0, 0.0), (2.0, 1.0)]), None);
    assert_eq!(exponent(&[(0.0, 1.0), (2.0, 1.0)]), None);
}

#[test]
fn fewer_than_two_distinct_sizes_have_no_line() {
    assert_eq!(line(&[]), None);
    assert_eq!(line(&[(3.0, 4.0)]), None);
    assert_eq!(line(&[(3.0, 4.0), (3.0, 5.0)]), None);
    assert_eq!(first_deviation(&[(1.0, 1.0), (2.0, 50.0)], 0.1), None);
}

#[test]
fn the_first_deviation_is_the_smallest_size_off_the_line_through_the_smaller_ones() {
    assert_eq!(first_deviation(&points_of(&SIZES, |size| 5.0 + 2.0 * size), 0.01), None);
    // Linear up to 3,000, constant above.
    let constant = first_deviation(&points_of(&SIZES, |size| size.min(3_000.0)), 0.1).unwrap();
    assert_near(constant.size, 9_000.0);
    assert_near(constant.expected, 9_000.0);
    assert_near(constant.found, 3_000.0);
    // Quadratic: the third point lies far above the line through the first two.
    let quadratic = first_deviation(&points_of(&SIZES, |size| size * size), 0.1).unwrap();
    assert_near(quadratic.size, 3_000.0);
    assert_near(quadratic.expected, 300.0 * 300.0 + 1_300.0 * 2_700.0);
}

#[test]
fn the_tolerance_is_a_fraction_of_the_larger_of_both_values() {
    let points = [(1.0, 100.0), (2.0, 200.0), (3.0, 330.0)];
    assert_eq!(first_deviation(&points, 0.1), None);
    assert!(first_deviation(&points, 0.09).is_some());
}
