//! A budget that keeps retries to a share of the requests.

use crate::units::ShareRatio;

/// Retries that may be saved up while nothing fails.
const MAX_SAVED: f64 = 10.0;

/// Counts requests and retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: ShareRatio,
    /// Invariant: between 0 and [`MAX_SAVED`].
    saved: f64,
}

impl RetryBudget {
    /// A budget of `share` retries a request.
    pub fn new(share: ShareRatio) -> Self {
        Self { share, saved: 1.0 }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share.get()).min(MAX_SAVED);
    }

    /// Takes one retry, if the budget has it.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
