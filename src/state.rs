//! Pure data and its transitions. Nothing here reads a clock or a socket.

pub mod class;
pub mod configuration;
pub mod member;
pub mod moment;
pub mod names;
