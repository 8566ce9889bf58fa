//! Sends chat requests to engines and relays the verified responses to callers.

mod engine_stream;
mod event_text;
mod response_relay;

pub use engine_stream::EngineRequest;
pub use event_text::{error_event, ping_comment};
pub use response_relay::{RelayContext, RelayMessage, ResponseRelay};
