//! A budget that bounds retries as a share of calls.

/// Retries that may be saved up, which bounds a burst.
const SAVED_MOST: f64 = 5.0;

/// The retry budget of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: f64,
    saved: f64,
}

impl Budget {
    /// A budget of `share` retries a call, from 0 to 1, that starts with one retry.
    pub const fn new(share: f64) -> Self {
        Self { share, saved: 1.0 }
    }

    /// Adds one call's share.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED_MOST);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
