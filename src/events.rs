//! Numbered events: what a node did and why, for the log and the time line.
//!
//! [`event::Event`] is the closed list; [`recorder::EventRecorder`] keeps the latest of them in
//! bounded memory and writes them to the log; [`view`] is their form between processes.

pub mod event;
pub mod filter;
pub mod message;
pub mod reasons;
pub mod recorder;
pub mod stamp;
pub mod view;
pub mod words;
