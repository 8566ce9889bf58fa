//! Reads HTTP/1.1 messages as bytes, since the tests are about bytes.

use std::io::{self, Read};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct WireHead {
    /// The first line.
    pub start_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl WireHead {
    /// The value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.start_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

fn broken(text: &str) -> io::Error {
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
                Err(broken("line cut"))
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
    let start_line = body.len();
    body.resize(start_line + count, 0);
    let read = reader.read_exact(&mut body[start_line..]);
    if read.is_err() {
        body.truncate(start_line);
    }
    read
}

fn read_chunks<R: Read>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("chunk cut"))?;
        let size = line.split(';').next().unwrap_or_default().trim().to_owned();
        let size = usize::from_str_radix(&size, 16).map_err(|_| broken("chunk size"))?;
        read_exactly(reader, size, body)?;
        read_line(reader)?.ok_or_else(|| broken("chunk cut"))?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a message; none at an orderly end before its first byte. A body without length or chunks
/// is read to the end of the connection if `until_close`, and is empty otherwise.
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

/// Reads a head; none at an orderly end before its first byte.
pub fn read_head<R: Read>(reader: &mut R) -> io::Result<Option<WireHead>> {
    let Some(start_line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut head = WireHead {
        start_line,
        headers: Vec::new(),
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("head cut"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        head.headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(head))
}

/// Reads the body that belongs to `head`; after an error, `body` holds what came before it.
pub fn read_body<R: Read>(
    reader: &mut R,
    head: &WireHead,
    until_close: bool,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    if head.header("transfer-encoding").is_some() {
        read_chunks(reader, body)
    } else if let Some(length) = head.header("content-length") {
        let length = length.parse().map_err(|_| broken("length"))?;
        read_exactly(reader, length, body)
    } else if until_close {
        reader.read_to_end(body).map(|_| ())
    } else {
        Ok(())
    }
}
