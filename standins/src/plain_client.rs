//! A blocking HTTP/1.1 client that sends requests byte for byte as given.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::scripted_engine::HANG_TIMEOUT;
use crate::wire_text::{WireHead, read_body, read_head, read_message};

/// A response that may have been cut off.
#[derive(Clone, Debug)]
pub struct PartialResponse {
    pub head: WireHead,
    /// The part of the body that arrived.
    pub body: String,
    /// Whether the body arrived completely.
    pub complete: bool,
}

fn read_partial<R: Read>(reader: &mut R) -> io::Result<PartialResponse> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    let complete = read_body(reader, &head, true, &mut body).is_ok();
    Ok(PartialResponse {
        head,
        body: String::from_utf8_lossy(&body).into_owned(),
        complete,
    })
}

/// Fails once a number of events has been read.
struct EventLimit<'a> {
    reader: &'a mut BufReader<TcpStream>,
    last: u8,
    remaining: usize,
}

impl Read for EventLimit<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.remaining == 0 {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let count = self.reader.read(buffer)?;
        for &byte in &buffer[..count] {
            // Line ends of heads and chunks contain a carriage return.
            if byte == b'\n' && self.last == b'\n' {
                self.remaining = self.remaining.saturating_sub(1);
            }
            self.last = byte;
        }
        Ok(count)
    }
}

/// One connection to a server.
pub struct PlainClient {
    reader: BufReader<TcpStream>,
    socket: TcpStream,
}

impl PlainClient {
    /// Connects with a read timeout of [`HANG_TIMEOUT`].
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(HANG_TIMEOUT))?;
        socket.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(socket.try_clone()?),
            socket,
        })
    }

    /// Sets how long a read waits for bytes before it fails.
    pub fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(limit))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Reads a response; fails if the connection ends before its last byte.
    pub fn read_response(&mut self) -> io::Result<(WireHead, String)> {
        let message = read_message(&mut self.reader, true)?;
        let (head, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok((head, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Reads as much of a response as arrives; fails if the head is incomplete.
    pub fn read_partial_response(&mut self) -> io::Result<PartialResponse> {
        read_partial(&mut self.reader)
    }

    /// Reads a response until `count` of its events have arrived.
    pub fn read_events(&mut self, count: usize) -> io::Result<PartialResponse> {
        read_partial(&mut EventLimit {
            reader: &mut self.reader,
            last: 0,
            remaining: count,
        })
    }

    /// Waits for the next bytes, of any number; returns an empty vector when the connection ends.
    pub fn read_some(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; 65_536];
        let count = self.reader.read(&mut bytes)?;
        bytes.truncate(count);
        Ok(bytes)
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, request: &str) -> io::Result<(WireHead, String)> {
        self.send(request.as_bytes())?;
        self.read_response()
    }
}
