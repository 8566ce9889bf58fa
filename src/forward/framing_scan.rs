//! Detects response heads with both a length and a transfer encoding.
//!
//! The HTTP library reads such a body by its chunks, as RFC 9112 says, and drops the length. The
//! head's bytes are therefore examined as they are read. Where the sender counted by the length, the
//! next response does not begin where the chunks end.

/// Bytes of a line that are kept: as many as the longest name and the colon behind it.
const MAX_LINE_BYTES: usize = b"transfer-encoding:".len();

/// The part of a response that the next line belongs to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ResponsePart {
    #[default]
    StatusLine,
    InterimHeaders,
    Headers,
    Body,
}

/// Examines the bytes of one response, up to the end of its head. Interim responses are skipped.
#[derive(Clone, Debug, Default)]
pub struct FramingScan {
    part: ResponsePart,
    /// The first bytes of the current line.
    line: Vec<u8>,
    has_length: bool,
    has_encoding: bool,
}

impl FramingScan {
    /// Adds bytes of the response; returns whether they show that it has a length and a transfer
    /// encoding.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        for &byte in bytes {
            if self.part == ResponsePart::Body {
                break;
            }
            if byte == b'\n' {
                self.end_line();
            } else if byte != b'\r' && self.line.len() < MAX_LINE_BYTES {
                self.line.push(byte);
            }
        }
        self.part == ResponsePart::Body && self.has_length && self.has_encoding
    }

    fn end_line(&mut self) {
        self.part = match (self.part, self.line.is_empty()) {
            // The library skips empty lines before a response.
            (ResponsePart::StatusLine | ResponsePart::InterimHeaders, true) => {
                ResponsePart::StatusLine
            }
            (ResponsePart::StatusLine, false) => {
                if self.line.get("HTTP/1.1 ".len()) == Some(&b'1') {
                    ResponsePart::InterimHeaders
                } else {
                    ResponsePart::Headers
                }
            }
            (ResponsePart::Headers, true) => ResponsePart::Body,
            (ResponsePart::Headers, false) => {
                self.has_length |= self.has_name(b"content-length:");
                self.has_encoding |= self.has_name(b"transfer-encoding:");
                ResponsePart::Headers
            }
            (part, _) => part,
        };
        self.line.clear();
    }

    fn has_name(&self, name: &[u8]) -> bool {
        let start = self.line.get(..name.len());
        start.is_some_and(|start| start.eq_ignore_ascii_case(name))
    }
}
