//! The weights: pieces, their hashes, and the origin that serves them.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::record::Record;

pub const MODEL: &str = "daka510000";
pub const PIECES: usize = 96;
pub const PIECE_BYTES: usize = 24_576;
/// Versions that the origin has.
const VERSIONS: u64 = 2;
/// The origin's link: 7.3 Mbit/s.
const LINK_BYTES_PER_S: f64 = 7.3e6 / 8.0;

/// The bytes of a piece of a version.
pub fn piece(version: u64, number: usize) -> Vec<u8> {
    let mut state = version << 32 | number as u64 | 0x9e37_79b9_0000_0000;
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes
}

const ROUND: [u32; 64] = [
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
    0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
    0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
    0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
    0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
    0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2,
];

/// SHA-256 in hex.
pub fn sha256(bytes: &[u8]) -> String {
    let mut hash: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab,
        0x5be0cd19,
    ];
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks_exact(64) {
        let mut w = [0_u32; 64];
        for (word, four) in w.iter_mut().zip(block.chunks_exact(4)) {
            *word = u32::from_be_bytes([four[0], four[1], four[2], four[3]]);
        }
        for i in 16..64 {
            let a = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ (w[i - 15] >> 3);
            let b = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ (w[i - 2] >> 10);
            w[i] = w[i - 16].wrapping_add(a).wrapping_add(w[i - 7]).wrapping_add(b);
        }
        let mut s = hash;
        for i in 0..64 {
            let e = s[4].rotate_right(6) ^ s[4].rotate_right(11) ^ s[4].rotate_right(25);
            let choice = (s[4] & s[5]) ^ (!s[4] & s[6]);
            let one = s[7]
                .wrapping_add(e)
                .wrapping_add(choice)
                .wrapping_add(ROUND[i])
                .wrapping_add(w[i]);
            let a = s[0].rotate_right(2) ^ s[0].rotate_right(13) ^ s[0].rotate_right(22);
            let majority = (s[0] & s[1]) ^ (s[0] & s[2]) ^ (s[1] & s[2]);
            let two = a.wrapping_add(majority);
            s = [
                one.wrapping_add(two), s[0], s[1], s[2], s[3].wrapping_add(one), s[4], s[5], s[6],
            ];
        }
        for (word, add) in hash.iter_mut().zip(s) {
            *word = word.wrapping_add(add);
        }
    }
    hash.iter().map(|word| format!("{word:08x}")).collect()
}

/// The origin of weights.
pub struct Origin {
    pub address: SocketAddr,
    hashes: Vec<Vec<String>>,
    link: Mutex<()>,
    /// Manifests that are still to be spoilt.
    pub spoil: AtomicU64,
    pub manifests: AtomicU64,
    pub spoilt: AtomicU64,
    pub pieces: AtomicU64,
    record: Record,
}

impl Origin {
    /// An origin.
    pub fn start(record: &Record) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let origin = Arc::new(Self {
            address: listener.local_addr().map_err(|error| error.to_string())?,
            hashes: (1..=VERSIONS)
                .map(|version| (0..PIECES).map(|number| sha256(&piece(version, number))).collect())
                .collect(),
            link: Mutex::default(),
            spoil: AtomicU64::new(0),
            manifests: AtomicU64::new(0),
            spoilt: AtomicU64::new(0),
            pieces: AtomicU64::new(0),
            record: record.clone(),
        });
        let shared = origin.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let origin = shared.clone();
                std::thread::spawn(move || origin.serve(stream));
            }
        });
        Ok(origin)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut from) {
            let version: u64 = request.parameter("version").parse().unwrap_or(1);
            let (status, body) = if !(1..=VERSIONS).contains(&version) {
                (404, Vec::new())
            } else if request.path == format!("/-/manifest/{MODEL}") {
                (200, self.manifest(version).into_bytes())
            } else if request.path == format!("/-/piece/{MODEL}") {
                let number: usize = request.parameter("hashCount").parse().unwrap_or(usize::MAX);
                if number < PIECES {
                    self.pieces.fetch_add(1, Ordering::Relaxed);
                    (200, piece(version, number))
                } else {
                    (404, Vec::new())
                }
            } else {
                (404, Vec::new())
            };
            let time = Duration::from_secs_f64(body.len() as f64 / LINK_BYTES_PER_S);
            {
                let _link = self.link.lock().unwrap();
                std::thread::sleep(time);
            }
            let close = request.header("connection").eq_ignore_ascii_case("close");
            let kind = [("Content-Type", "application/json")];
            if http::respond(&mut out, status, &kind, &body).is_err() || close {
                return;
            }
        }
    }

    fn manifest(&self, version: u64) -> String {
        self.manifests.fetch_add(1, Ordering::Relaxed);
        let mut hashes = self.hashes[version as usize - 1].clone();
        let take = |left: u64| left.checked_sub(1);
        let spoils = self.spoil.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if let Ok(left) = spoils {
            // One digit of one hash is another.
            let number = (17 * left as usize) % PIECES;
            let other = if hashes[number].starts_with('0') { "1" } else { "0" };
            hashes[number].replace_range(0..1, other);
            self.spoilt.fetch_add(1, Ordering::Relaxed);
            self.record.say(&format!("origin: a manifest is spoilt: one digit of the hash of piece {number}"));
        }
        let hashes: Vec<String> = hashes.iter().map(|hash| format!("\"{hash}\"")).collect();
        format!(
            "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunkBytes\":{PIECE_BYTES},\"layers\":16,\"chunkHashes\":[{}]}}",
            hashes.join(",")
        )
    }
}
