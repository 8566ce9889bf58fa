//! A client that writes requests byte for byte.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::scripted_engine::HANG_TIMEOUT;
use crate::wire_text::{WireHead, read_body, read_head, read_message};

/// An answer, as far as it came.
#[derive(Clone, Debug)]
pub struct ReadAnswer {
    /// Its head.
    pub head: WireHead,
    /// What came of its body.
    pub body: String,
    /// Whether the body came to its end.
    pub complete: bool,
}

/// A connection of a client.
pub struct PlainClient {
    reader: BufReader<TcpStream>,
    socket: TcpStream,
}

impl PlainClient {
    /// Connects.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(HANG_TIMEOUT))?;
        socket.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(socket.try_clone()?),
            socket,
        })
    }

    /// Waits for bytes only so long.
    pub fn set_read_timeout(&self, limit: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(limit))
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    /// Reads an answer; an error if it is cut.
    pub fn read_response(&mut self) -> io::Result<(WireHead, String)> {
        let message = read_message(&mut self.reader, true)?;
        let (head, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok((head, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Reads an answer as far as it comes; an error if no head comes.
    pub fn read_partial_response(&mut self) -> io::Result<ReadAnswer> {
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        let complete = read_body(&mut self.reader, &head, true, &mut body).is_ok();
        Ok(ReadAnswer {
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
            complete,
        })
    }

    /// Reads some bytes as they come; empty at the end.
    pub fn read_some(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; 65_536];
        let count = self.reader.read(&mut bytes)?;
        bytes.truncate(count);
        Ok(bytes)
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, request: &str) -> io::Result<(WireHead, String)> {
        self.send(request.as_bytes())?;
        self.read_response()
    }
}
