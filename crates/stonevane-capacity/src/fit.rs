//! Least-squares lines through measured points, and the first size at which a curve deviates from its line.

/// A measured point: size and value, each in the unit of the caller.
pub type Point = (f64, f64);

/// A least-squares line, `intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Root mean square of the vertical distances of the points from the line.
    pub residual: f64,
}

impl Line {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Fits the least-squares line through points; `None` for fewer than two distinct sizes.
pub fn line(points: &[Point]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
    let squared_sizes: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
    if points.len() < 2 || squared_sizes <= 0.0 {
        return None;
    }
    let cross_products: f64 =
        points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
    let slope = cross_products / squared_sizes;
    let intercept = mean_value - slope * mean_size;
    let squares: f64 = points.iter().map(|(size, value)| (value - intercept - slope * size).powi(2)).sum();
    Some(Line { intercept, slope, residual: (squares / count).sqrt() })
}

/// Fits a power law through points and returns its exponent: the slope of the line through their logarithms.
/// `None` if a size or value is not above zero or there are fewer than two distinct sizes.
pub fn exponent(points: &[Point]) -> Option<f64> {
    if points.iter().any(|(size, value)| *size <= 0.0 || *value <= 0.0) {
        return None;
    }
    let logarithms: Vec<Point> = points.iter().map(|(size, value)| (size.ln(), value.ln())).collect();
    line(&logarithms).map(|line| line.slope)
}

/// First point at which a curve is no longer linear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deviation {
    /// Smallest size whose point lies off the line through all smaller sizes.
    pub size: f64,
    /// Value at `size` of the line through all smaller sizes.
    pub expected: f64,
    /// Measured value at `size`.
    pub found: f64,
}

/// Finds the first point that lies off the line through all smaller sizes. `tolerance` is the largest
/// accepted vertical distance, as a fraction of the larger of the expected and the measured value. Points
/// must be sorted by size. Two points always lie on their line, so the third is the first that can deviate.
pub fn first_deviation(points: &[Point], tolerance: f64) -> Option<Deviation> {
    (2..points.len()).find_map(|index| {
        let (size, found) = points[index];
        let expected = line(&points[..index])?.at(size);
        let deviates = (found - expected).abs() > tolerance * expected.abs().max(found.abs());
        deviates.then_some(Deviation { size, expected, found })
    })
}
