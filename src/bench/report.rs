//! The figures of a scenario and the bounds on them, as one line of JSON.

use std::collections::BTreeMap;

use serde::Serialize;

/// Which side of a limit a figure must be on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BoundSide {
    /// At most the limit.
    AtMost,
    /// At least the limit.
    AtLeast,
}

/// A bound on one figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureBound {
    /// The figure's name.
    pub figure: String,
    /// Which side of the limit it must be on.
    pub side: BoundSide,
    /// The limit, from the stated target.
    pub limit: f64,
    /// Whether it holds.
    pub holds: bool,
}

/// What a scenario found.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The seed that draws the run.
    pub seed: u64,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// Bounds on them.
    pub bounds: Vec<FigureBound>,
}

impl ScenarioReport {
    /// A report without figures.
    pub fn new(scenario: &'static str, seed: u64) -> Self {
        Self {
            scenario,
            seed,
            figures: BTreeMap::new(),
            bounds: Vec::new(),
        }
    }

    /// Adds a figure without a bound, rounded for reading.
    pub fn figure(&mut self, name: &str, value: f64) {
        self.figures
            .insert(name.to_owned(), (value * 1e4).round() / 1e4);
    }

    /// Adds a figure that must be at most `limit`.
    pub fn at_most(&mut self, name: &str, value: f64, limit: f64) {
        self.bounded(name, value, BoundSide::AtMost, limit, value <= limit);
    }

    /// Adds a figure that must be at least `limit`.
    pub fn at_least(&mut self, name: &str, value: f64, limit: f64) {
        self.bounded(name, value, BoundSide::AtLeast, limit, value >= limit);
    }

    /// Whether every bound holds.
    pub fn holds(&self) -> bool {
        self.bounds.iter().all(|bound| bound.holds)
    }

    fn bounded(&mut self, name: &str, value: f64, side: BoundSide, limit: f64, holds: bool) {
        self.figure(name, value);
        self.bounds.push(FigureBound {
            figure: name.to_owned(),
            side,
            limit,
            holds,
        });
    }
}
