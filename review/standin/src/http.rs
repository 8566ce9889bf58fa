//! HTTP/1.1 messages: requests that a stand-in receives and responses that a client reads.

use std::io::{self, BufRead, BufReader};
use std::net::TcpStream;

/// The head of a request or a response, and its body if it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.header("X-Request-Id").unwrap_or_default()
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.last() != Some(&b'\n') {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    let text = String::from_utf8_lossy(&line);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("header"))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Ok(Some(Message {
        start,
        headers,
        body: Vec::new(),
    }))
}

/// Reads the body of `head`, by its length or its chunks. Without either, a body has no bytes.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Message) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.header("Content-Length") {
        let length = length.parse().map_err(|_| broken("length"))?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if head.header("Transfer-Encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(&size, 16).map_err(|_| broken("chunk"))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    }
    Ok(body)
}

/// Reads a whole request; `None` if the connection ends before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut head) = read_head(reader)? else {
        return Ok(None);
    };
    head.body = read_body(reader, &head)?;
    Ok(Some(head))
}
