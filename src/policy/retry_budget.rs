//! A budget that limits retries to a share of the requests.

use crate::units::ShareRatio;

/// Limit of the balance, in retries, which bounds the burst of retries after a time without
/// failures.
const MAX_BALANCE: f64 = 10.0;

/// A balance of retries. Each request adds a fraction of a retry to it, once.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: ShareRatio,
    /// Retries that are available.
    ///
    /// Invariant: between 0 and [`MAX_BALANCE`].
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per request.
    pub fn new(share: ShareRatio) -> Self {
        Self {
            share,
            balance: 1.0,
        }
    }

    /// Credits the budget for one request, whose retries are not credited again.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.share.get()).min(MAX_BALANCE);
    }

    /// Withdraws one retry. Returns `false` if the balance does not cover it.
    pub fn try_withdraw(&mut self) -> bool {
        let is_covered = self.balance >= 1.0;
        if is_covered {
            self.balance -= 1.0;
        }
        is_covered
    }
}
