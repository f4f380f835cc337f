//! Fits a line and a power law to a measurement's values by size, picks the better one, and decides whether it may be
//! extrapolated beyond the measured sizes. Does no I/O.

/// With fewer sizes than this nothing is extrapolated: a line fits any two points.
pub const MIN_SIZES: usize = 4;
/// A fit whose residual exceeds this fraction of the mean value is not extrapolated.
pub const MAX_RESIDUAL: f64 = 0.15;

/// The model that fits the values better.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Model {
    /// `base + slope * size`
    Linear,
    /// `base * size ^ exponent`
    Power,
}

/// The better of the two fits of a measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    model: Model,
    base: f64,
    /// Slope of the linear fit, per unit of size, also where the power law fits better.
    pub slope: f64,
    /// Exponent of the power law; `None` where a size or value is not above zero.
    pub exponent: Option<f64>,
    /// Root mean square error of the better fit, as a fraction of the mean absolute value.
    pub residual: f64,
    sizes: usize,
}

impl Fit {
    /// Fits values by size; `None` without at least two different sizes.
    pub fn new(sizes: &[f64], values: &[f64]) -> Option<Fit> {
        let (intercept, slope) = linear_regression(sizes, values)?;
        let linear_residual =
            relative_residual(values, sizes.iter().map(|size| intercept + slope * size));
        let positive = sizes.iter().chain(values).all(|x| *x > 0.0);
        let logs = |xs: &[f64]| xs.iter().map(|x| x.ln()).collect::<Vec<_>>();
        let power = positive
            .then(|| linear_regression(&logs(sizes), &logs(values)))
            .flatten();
        let line = Fit {
            model: Model::Linear,
            base: intercept,
            slope,
            exponent: power.map(|p| p.1),
            residual: linear_residual,
            sizes: sizes.len(),
        };
        let Some((log, exponent)) = power else {
            return Some(line);
        };
        let base = log.exp();
        let residual =
            relative_residual(values, sizes.iter().map(|size| base * size.powf(exponent)));
        Some(if residual < linear_residual {
            Fit {
                model: Model::Power,
                base,
                residual,
                ..line
            }
        } else {
            line
        })
    }

    /// The value predicted at a size; `None` if there are too few sizes or the residual is too large.
    pub fn predict(&self, size: f64) -> Option<f64> {
        let fits = self.sizes >= MIN_SIZES && self.residual <= MAX_RESIDUAL;
        fits.then(|| match self.model {
            Model::Linear => self.base + self.slope * size,
            Model::Power => self.base * size.powf(self.exponent.unwrap_or(0.0)),
        })
    }
}

/// Intercept and slope by least squares.
fn linear_regression(xs: &[f64], ys: &[f64]) -> Option<(f64, f64)> {
    let count = xs.len() as f64;
    if xs.len() < 2 || xs.len() != ys.len() {
        return None;
    }
    let (mean_x, mean_y) = (
        xs.iter().sum::<f64>() / count,
        ys.iter().sum::<f64>() / count,
    );
    let variance: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    let covariance: f64 = xs
        .iter()
        .zip(ys)
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    (variance > 0.0).then(|| {
        (
            mean_y - covariance / variance * mean_x,
            covariance / variance,
        )
    })
}

/// Root mean square error of the predictions, relative to the mean absolute value (absolute where that is zero).
fn relative_residual(values: &[f64], predicted: impl Iterator<Item = f64>) -> f64 {
    let squares: f64 = values
        .iter()
        .zip(predicted)
        .map(|(value, at)| (value - at).powi(2))
        .sum();
    let mean = values.iter().map(|value| value.abs()).sum::<f64>() / values.len() as f64;
    let root = (squares / values.len() as f64).sqrt();
    if mean > 0.0 {
        root / mean
    } else {
        root
    }
}
