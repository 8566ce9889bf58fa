//! Sends a request to engines and relays the checked answer to its caller.

mod engine_stream;
mod event_text;
mod response_relay;

pub use engine_stream::EngineRequest;
pub use event_text::{error_event, ping_comment};
pub use response_relay::{AnswerRelay, RelayContext, RelayMessage};
