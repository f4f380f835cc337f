//! Owns the laws that figures follow as sizes grow: a line and a power, which of the two fits better, and whether it
//! may be drawn out beyond the sizes that were measured. Pure.

/// Fewer sizes than this prove no law: two points lie on any line.
pub const LEAST_SIZES: usize = 4;
/// A law that misses the values by more than this part of their mean is not drawn out.
pub const MOST_RESIDUAL: f64 = 0.15;

/// Which law fits a figure better.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    /// `base + slope * size`
    Line,
    /// `base * size ^ exponent`
    Power,
}

/// The better law of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Law {
    kind: Kind,
    base: f64,
    /// Of the line through the values, per unit of size.
    pub slope: f64,
    /// Of the power through the values; `None` where one of them is not above zero.
    pub exponent: Option<f64>,
    /// How far the better law misses: the root of the mean square, as a part of the values' mean.
    pub residual: f64,
    sizes: usize,
}

impl Law {
    /// The law of values at sizes. Needs two sizes that differ.
    pub fn of(sizes: &[f64], values: &[f64]) -> Option<Law> {
        let (intercept, slope) = line(sizes, values)?;
        let straight = missed(values, sizes.iter().map(|size| intercept + slope * size));
        let positive = sizes.iter().chain(values).all(|x| *x > 0.0);
        let logs = |xs: &[f64]| xs.iter().map(|x| x.ln()).collect::<Vec<_>>();
        let power = positive
            .then(|| line(&logs(sizes), &logs(values)))
            .flatten();
        let line = Law {
            kind: Kind::Line,
            base: intercept,
            slope,
            exponent: power.map(|p| p.1),
            residual: straight,
            sizes: sizes.len(),
        };
        let Some((log, exponent)) = power else {
            return Some(line);
        };
        let base = log.exp();
        let residual = missed(values, sizes.iter().map(|size| base * size.powf(exponent)));
        Some(if residual < straight {
            Law {
                kind: Kind::Power,
                base,
                residual,
                ..line
            }
        } else {
            line
        })
    }

    /// The value that the law gives at a size, if it fits well enough to be drawn out.
    pub fn at(&self, size: f64) -> Option<f64> {
        let fits = self.sizes >= LEAST_SIZES && self.residual <= MOST_RESIDUAL;
        fits.then(|| match self.kind {
            Kind::Line => self.base + self.slope * size,
            Kind::Power => self.base * size.powf(self.exponent.unwrap_or(0.0)),
        })
    }
}

/// Intercept and slope of least squares.
fn line(xs: &[f64], ys: &[f64]) -> Option<(f64, f64)> {
    let count = xs.len() as f64;
    if xs.len() < 2 || xs.len() != ys.len() {
        return None;
    }
    let (mean_x, mean_y) = (
        xs.iter().sum::<f64>() / count,
        ys.iter().sum::<f64>() / count,
    );
    let spread: f64 = xs.iter().map(|x| (x - mean_x).powi(2)).sum();
    let both: f64 = xs
        .iter()
        .zip(ys)
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    (spread > 0.0).then(|| (mean_y - both / spread * mean_x, both / spread))
}

fn missed(values: &[f64], law: impl Iterator<Item = f64>) -> f64 {
    let squares: f64 = values
        .iter()
        .zip(law)
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
