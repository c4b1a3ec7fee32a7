//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, Read, Write};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn header_of<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known == name);
    found.next().map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name).unwrap_or("")
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.replace("%2F", "/").replace("%2f", "/"))
            .unwrap_or_default()
    }
}

fn line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    if from.read_until(b'\n', &mut bytes)? == 0 {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(&bytes);
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_owned()))
}

fn headers(from: &mut impl BufRead) -> io::Result<Option<Vec<(String, String)>>> {
    let mut headers = Vec::new();
    loop {
        match line(from)? {
            None => return Ok(None),
            Some(text) if text.is_empty() => return Ok(Some(headers)),
            Some(text) => {
                if let Some((name, value)) = text.split_once(':') {
                    headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
    }
}

/// Reads chunks to the last one; `false` if they end before.
fn chunks(from: &mut impl BufRead, mut part: impl FnMut(&[u8])) -> io::Result<bool> {
    loop {
        let Some(size) = line(from)? else {
            return Ok(false);
        };
        let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16) else {
            return Ok(false);
        };
        let mut bytes = vec![0; size + 2];
        if from.read_exact(&mut bytes).is_err() {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
        part(&bytes[..size]);
    }
}

/// Reads a request; `None` once the connection has ended.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(first) = line(from)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let Some(headers) = headers(from)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    if header_of(&headers, "transfer-encoding").is_some() {
        if !chunks(from, |part| body.extend_from_slice(part))? {
            return Ok(None);
        }
    } else if let Some(length) = header_of(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        from.read_exact(&mut body)?;
    }
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Writes a response with a length.
pub fn respond(
    to: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    to.write_all(&[text.as_bytes(), body].concat())
}

/// A response as a client got it.
#[derive(Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it is complete by its own framing.
    pub complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        header_of(&self.headers, name).unwrap_or("")
    }

    /// Whether the connection may be used again.
    pub fn keeps(&self) -> bool {
        self.complete && !self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads a response; `None` if the connection ended before one began.
pub fn read_response(from: &mut impl BufRead) -> io::Result<Option<Response>> {
    let Some(first) = line(from)? else {
        return Ok(None);
    };
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let Some(status) = status else {
        return Ok(None);
    };
    let Some(headers) = headers(from)? else {
        return Ok(None);
    };
    let mut response = Response {
        status,
        headers,
        ..Response::default()
    };
    if response.header("transfer-encoding").contains("chunked") {
        let mut body = Vec::new();
        response.complete = chunks(from, |part| body.extend_from_slice(part)).unwrap_or(false);
        response.body = body;
    } else if let Ok(length) = response.header("content-length").parse::<u64>() {
        let mut body = Vec::new();
        let _ = from.take(length).read_to_end(&mut body);
        response.complete = body.len() as u64 == length;
        response.body = body;
    } else {
        // A body that ends with its connection: complete if that ends in order.
        let mut body = Vec::new();
        response.complete = from.read_to_end(&mut body).is_ok();
        response.body = body;
    }
    Ok(Some(response))
}
