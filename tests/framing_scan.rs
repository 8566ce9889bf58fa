//! Guards against a response with a length and chunks that is not noticed because of the way in
//! which its bytes arrive, and against others that are taken for one.

use hawthornrouter::forward::framing_scan::FramingScan;

/// Whether the response is found to have two framings, by the length of the first read. The rest is
/// read byte by byte.
fn results(response: &str) -> Vec<bool> {
    let bytes = response.as_bytes();
    let cuts = 0..=bytes.len();
    let found = cuts.map(|cut| {
        let mut scan = FramingScan::default();
        let (first, rest) = bytes.split_at(cut);
        let mut is_found = scan.push(first);
        for byte in rest.chunks(1) {
            is_found = scan.push(byte);
        }
        is_found
    });
    found.collect()
}

#[test]
fn length_and_encoding() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\ntransfer-encoding:chunked\nX-Other: 1\ncontent-length:3\n\nbody",
        "\r\nHTTP/1.0 500\r\nTRANSFER-ENCODING: x\r\nCONTENT-LENGTH: 3\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
    ] {
        assert!(!results(response).contains(&false), "{response:?}");
    }
}

#[test]
fn one_framing() {
    for response in [
        "HTTP/1.1 200 OK\r\n\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Content-Length: 3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: content-length: 3\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nContent-Length: 3\r\n\r\nHTTP/1.1 200 OK\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert!(!results(response).contains(&true), "{response:?}");
    }
}
