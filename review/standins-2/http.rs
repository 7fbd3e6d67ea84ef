//! A small HTTP/1.1 server: one thread for each connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::net::Links;

pub struct Request {
    pub from: IpAddr,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

pub type Handler = Arc<dyn Fn(Request) -> (u16, String) + Send + Sync>;

/// Serves at the address until the process ends.
pub fn serve(address: SocketAddr, links: Links, handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (links, handler) = (links.clone(), handler.clone());
            std::thread::spawn(move || {
                let _ = connection(stream, &links, &handler);
            });
        }
    });
    Ok(address)
}

fn connection(stream: TcpStream, links: &Links, handler: &Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let from = stream.peer_addr()?.ip();
    if links.pass(from) {
        // Opened during a cut.
        return Ok(());
    }
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        // What arrives during a cut is held up, and delivered when it heals.
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        links.pass(from);
        let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = headers.get("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        links.pass(from);
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(name, value)| (name.to_owned(), decode(value)));
        let (status, answer) = handler(Request {
            from,
            path: path.to_owned(),
            query: query.collect(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        });
        links.pass(from);
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\nstore-era: 1\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        writer.write_all(format!("{head}{answer}").as_bytes())?;
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).filter(|_| bytes[i] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns the status of a GET.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let text = get(address, path)?;
    text.split(' ').nth(1)?.parse().ok()
}

/// Returns the whole answer to a GET.
pub fn get(address: SocketAddr, path: &str) -> Option<String> {
    let limit = Duration::from_millis(800);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
