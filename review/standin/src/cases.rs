//! The cases, one module each. `run` returns whether the rule was broken.

pub mod cut_watch;
pub mod endless_events;
pub mod large_bodies;
pub mod stalled_engines;
