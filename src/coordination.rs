//! Decisions: who does what. Pure functions of state, event and time that return actions.

pub mod admission;
pub mod classification;
pub mod hedging;
pub mod keyed_calls;
pub mod log_reader;
pub mod measuring;
pub mod membership;
pub mod own_upstream;
pub mod ownership;
pub mod placement;
pub mod publishing;
pub mod repeat_budget;
pub mod retries;
pub mod routing;
pub mod slot_queue;
pub mod spreading;
pub mod store_reading;
