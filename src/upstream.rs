//! Sends chat requests to engines and relays the verified responses to callers.

mod answer_relay;
mod engine_call;
mod event_text;

pub use answer_relay::{RelayContext, RelayMessage, ResponseRelay};
pub use engine_call::EngineRequest;
pub use event_text::{error_event, ping_comment};
