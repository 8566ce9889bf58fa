//! A minimal HTTP/1.1 parser. The tests use it instead of a library because they check the exact
//! bytes that are sent.

use std::io::{self, Read};

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct WireHead {
    /// The request line or status line.
    pub start_line: String,
    /// Header names in lower case, with their values in the order received.
    pub headers: Vec<(String, String)>,
}

impl WireHead {
    /// Returns the first value of the header `name`, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0 if the status line has none.
    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns path and query of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

fn malformed(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

fn read_line<R: Read>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let mut byte = [0];
    loop {
        if reader.read(&mut byte)? == 0 {
            return if line.is_empty() {
                Ok(None)
            } else {
                Err(malformed("connection ended within a line"))
            };
        }
        if byte[0] == b'\n' {
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Ok(Some(String::from_utf8_lossy(&line).into_owned()));
        }
        line.push(byte[0]);
    }
}

fn read_exactly<R: Read>(reader: &mut R, count: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let offset = body.len();
    body.resize(offset + count, 0);
    let read = reader.read_exact(&mut body[offset..]);
    if read.is_err() {
        body.truncate(offset);
    }
    read
}

fn read_chunks<R: Read>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?
            .ok_or_else(|| malformed("connection ended before the last chunk"))?;
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16)
            .map_err(|_| malformed("chunk size is not a hexadecimal number"))?;
        read_exactly(reader, size, body)?;
        read_line(reader)?.ok_or_else(|| malformed("connection ended after a chunk's data"))?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a message; `None` if the connection ends in an orderly way before its first byte. A body
/// with neither length nor chunks is read to the end of the connection if `until_close`, and is
/// empty otherwise.
pub fn read_message<R: Read>(
    reader: &mut R,
    until_close: bool,
) -> io::Result<Option<(WireHead, Vec<u8>)>> {
    let Some(head) = read_head(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    read_body(reader, &head, until_close, &mut body)?;
    Ok(Some((head, body)))
}

/// Reads a head; `None` if the connection ends in an orderly way before its first byte.
pub fn read_head<R: Read>(reader: &mut R) -> io::Result<Option<WireHead>> {
    let Some(start_line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut head = WireHead {
        start_line,
        headers: Vec::new(),
    };
    loop {
        let line =
            read_line(reader)?.ok_or_else(|| malformed("connection ended within the head"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| malformed("header"))?;
        head.headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(head))
}

/// Reads the body that belongs to `head`; after an error, `body` contains what was read before it.
pub fn read_body<R: Read>(
    reader: &mut R,
    head: &WireHead,
    until_close: bool,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if head.header("transfer-encoding").is_some() {
        read_chunks(reader, body)
    } else if let Some(length) = head.header("content-length") {
        let length = length.parse().map_err(|_| malformed("length"))?;
        read_exactly(reader, length, body)
    } else if until_close {
        reader.read_to_end(body).map(|_| ())
    } else {
        Ok(())
    }
}
