//! Sends a request to engines and relays the checked answer to its caller.

mod answer_relay;
mod engine_call;
mod event_text;

pub use answer_relay::{AnswerRelay, RelayContext, RelayMessage};
pub use engine_call::EngineRequest;
pub use event_text::{error_event, ping_comment};
