//! The gossip protocol of forwarding routers: heartbeats over UDP for membership and loads, and a
//! TCP exchange that fetches documents from a peer.

mod document_link;
pub mod frames;

pub use document_link::{fetch_documents, serve_document_request};
