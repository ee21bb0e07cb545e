//! A token bucket that limits retries to a share of calls.

/// The capacity of the bucket, which bounds a burst of retries.
const MAX_TOKENS: f64 = 5.0;

/// The retry budget of one service; a token pays for one retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries per call, from 0 to 1, that starts with one token.
    pub const fn new(share: f64) -> Self {
        Self { share, tokens: 1.0 }
    }

    /// Replaces the share of retries per call, from 0 to 1. Tokens that were earned before remain.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Deposits the share of one call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Withdraws the token for one retry; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
