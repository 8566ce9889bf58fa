//! The report of a scenario: its figures and the bounds on them, serialized as JSON.

use std::collections::BTreeMap;

use serde::Serialize;

/// The side of its limit on which a figure must lie.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BoundSide {
    AtMost,
    AtLeast,
}

/// A bound on one figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureBound {
    /// Name of the figure, a key of [`ScenarioReport::figures`].
    pub figure: String,
    pub side: BoundSide,
    /// Limit from the product's stated targets; a figure equal to it satisfies the bound.
    pub limit: f64,
    /// Whether the figure satisfies the bound. The unrounded value is compared.
    pub holds: bool,
}

/// The result of one run of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioReport {
    pub scenario: &'static str,
    /// Seed of the random numbers; the same seed gives the same report.
    pub seed: u64,
    /// Figures by name, rounded to four decimal places.
    pub figures: BTreeMap<String, f64>,
    /// Bounds in the order in which the scenario checked them.
    pub bounds: Vec<FigureBound>,
}

impl ScenarioReport {
    /// Creates a report without figures.
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self {
            scenario,
            seed,
            figures: BTreeMap::new(),
            bounds: Vec::new(),
        }
    }

    /// Adds a figure without a bound.
    pub fn figure(&mut self, name: &str, value: f64) {
        self.figures
            .insert(name.to_owned(), (value * 1e4).round() / 1e4);
    }

    /// Adds a figure that must be at most `limit`.
    pub fn at_most(&mut self, name: &str, value: f64, limit: f64) {
        self.add_bounded(name, value, BoundSide::AtMost, limit, value <= limit);
    }

    /// Adds a figure that must be at least `limit`.
    pub fn at_least(&mut self, name: &str, value: f64, limit: f64) {
        self.add_bounded(name, value, BoundSide::AtLeast, limit, value >= limit);
    }

    /// Returns whether the figures satisfy all bounds.
    pub fn holds(&self) -> bool {
        self.bounds.iter().all(|bound| bound.holds)
    }

    fn add_bounded(&mut self, name: &str, value: f64, side: BoundSide, limit: f64, holds: bool) {
        self.figure(name, value);
        self.bounds.push(FigureBound {
            figure: name.to_owned(),
            side,
            limit,
            holds,
        });
    }
}
