//! Retry budget: limits retries to a share of the successes.

/// Tokens that successes add and retries use up.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: u64,
    tokens_per_success: u64,
    max_tokens: u64,
}

const TOKENS_PER_RETRY: u64 = 1_000;

impl Budget {
    /// Creates a full budget of `max_retries` retries to which each success adds `percent` hundredths
    /// of a retry.
    pub fn new(percent: u64, max_retries: u64) -> Self {
        Self {
            tokens: max_retries * TOKENS_PER_RETRY,
            tokens_per_success: percent * TOKENS_PER_RETRY / 100,
            max_tokens: max_retries * TOKENS_PER_RETRY,
        }
    }

    /// Adds the tokens of one success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_success).min(self.max_tokens);
    }

    /// Takes the tokens of one retry. Returns false if too few are left.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.tokens.checked_sub(TOKENS_PER_RETRY) else {
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
