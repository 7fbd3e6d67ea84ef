//! The retry budget: retries may be at most a share of successes.

/// Tokens earned by successes and spent by retries.
#[derive(Clone, Debug)]
pub struct Budget {
    /// In thousandths of a retry.
    tokens: u64,
    earn: u64,
    most: u64,
}

const RETRY: u64 = 1_000;

impl Budget {
    /// Each success earns `percent` hundredths of a retry; `most` can be saved.
    pub fn new(percent: u64, most: u64) -> Self {
        Self {
            tokens: most * RETRY,
            earn: percent * RETRY / 100,
            most: most * RETRY,
        }
    }

    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.earn).min(self.most);
    }

    /// Takes one retry. False when there is none left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(RETRY) else {
            return false;
        };
        self.tokens = left;
        true
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(10, 20)
    }
}
