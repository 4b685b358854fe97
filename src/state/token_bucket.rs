//! A token bucket that never grants more than it was given.

/// Tokens that are put in by the caller and taken out whole or in part.
///
/// It holds no clock: whoever owns it decides what earns tokens (time, calls, or both).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    capacity: f64,
}

impl TokenBucket {
    /// An empty bucket that holds at most `capacity` tokens.
    #[must_use]
    pub fn empty(capacity: f64) -> Self {
        Self {
            tokens: 0.0,
            capacity: capacity.max(0.0),
        }
    }

    /// Puts tokens in; what does not fit is lost.
    pub fn deposit(&mut self, amount: f64) {
        self.tokens = (self.tokens + amount.max(0.0)).min(self.capacity);
    }

    /// Changes the capacity; tokens above it are lost.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity.max(0.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Whether `amount` could be taken now.
    #[must_use]
    pub fn holds(&self, amount: f64) -> bool {
        self.tokens >= amount
    }

    /// Takes `amount` if all of it is there.
    pub fn withdraw(&mut self, amount: f64) -> bool {
        let granted = self.holds(amount);
        if granted {
            self.tokens -= amount;
        }
        granted
    }

    /// Tokens left.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
