//! How forwarding routers find each other and pass documents on.

mod document_link;
pub mod frames;

pub use document_link::{answer_peer, fetch_documents};
