//! Shaped links: each box has a full-duplex link of a given rate, and faults happen on links.
//!
//! A connection is wrapped where it is accepted. What the server writes takes time on its own
//! uplink and on the reader's downlink. Both are queues of their own, so neither wastes time while
//! the other is busy.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::http::{Io, Wrap};

/// Most bytes that one write takes on a link.
const QUANTUM: usize = 16 * 1024;

/// How far a link may lag behind its rate and still catch up: timers are coarse.
const SLACK: Duration = Duration::from_millis(20);

/// How often a blocked connection looks whether it may go on.
const RECHECK: Duration = Duration::from_millis(20);

/// A write of at least this length carries bulk data at its end.
const BULK: usize = 4 * 1024;

/// One direction of a link.
#[derive(Debug)]
struct Direction {
    bytes_per_second: f64,
    free_at: Instant,
}

impl Direction {
    fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            free_at: Instant::now(),
        }
    }

    /// Takes time for `bytes` and returns when they are through.
    fn reserve(&mut self, bytes: usize, now: Instant) -> Instant {
        let start = now.checked_sub(SLACK).unwrap_or(now).max(self.free_at);
        self.free_at = start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        self.free_at
    }
}

/// A box's link.
#[derive(Debug)]
pub struct Link {
    hall: String,
    up: Mutex<Direction>,
    down: Mutex<Direction>,
    stalled: AtomicBool,
    corrupt_per_million: AtomicU64,
    corrupt_state: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Link {
    /// Stops or restarts all bytes, without closing anything.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.store(stalled, Ordering::Relaxed);
    }

    /// Flips a byte in this share of the bulk writes.
    pub fn set_corrupt(&self, share: f64) {
        let per_million = (share * 1e6) as u64;
        self.corrupt_per_million
            .store(per_million, Ordering::Relaxed);
    }

    /// Bytes that left over the link as a server, and that came back to it.
    pub fn bytes(&self) -> (u64, u64) {
        (
            self.sent.load(Ordering::Relaxed),
            self.received.load(Ordering::Relaxed),
        )
    }

    /// Whether the next bulk write is to be spoilt. A linear congruence is random enough.
    fn spoil(&self) -> bool {
        let share = self.corrupt_per_million.load(Ordering::Relaxed);
        if share == 0 {
            return false;
        }
        let state = self
            .corrupt_state
            .fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        let mixed = (state ^ (state >> 31)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        (mixed >> 33) % 1_000_000 < share
    }
}

/// All links, and which halls are cut off.
#[derive(Debug, Default)]
pub struct Net {
    links: RwLock<HashMap<IpAddr, Arc<Link>>>,
    cut: RwLock<HashSet<String>>,
    any_cut: AtomicBool,
}

impl Net {
    /// Adds a link of `bytes_per_second` each way.
    pub fn add(&self, address: IpAddr, hall: &str, bytes_per_second: f64, seed: u64) -> Arc<Link> {
        let link = Arc::new(Link {
            hall: hall.to_owned(),
            up: Mutex::new(Direction::new(bytes_per_second)),
            down: Mutex::new(Direction::new(bytes_per_second)),
            stalled: AtomicBool::new(false),
            corrupt_per_million: AtomicU64::new(0),
            corrupt_state: AtomicU64::new(seed),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        });
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.insert(address, link.clone());
        link
    }

    /// Cuts a hall off from everything outside it, or heals the cut.
    pub fn set_cut(&self, hall: &str, cut: bool) {
        let mut halls = self.cut.write().unwrap_or_else(PoisonError::into_inner);
        if cut {
            halls.insert(hall.to_owned());
        } else {
            halls.remove(hall);
        }
        self.any_cut.store(!halls.is_empty(), Ordering::Relaxed);
    }

    /// The wrapper for the server at `address`. Without a link it is left as it is.
    pub fn wrap(self: &Arc<Self>, address: IpAddr) -> Wrap {
        let net = self.clone();
        Rc::new(move |stream, peer: SocketAddr| net.shape(stream, address, peer.ip()))
    }

    fn shape(self: &Arc<Self>, stream: TcpStream, own: IpAddr, peer: IpAddr) -> Box<dyn Io> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = links.get(&own).filter(|_| own != peer) else {
            return Box::new(stream);
        };
        Box::new(Shaped {
            stream,
            net: self.clone(),
            own: link.clone(),
            peer: links.get(&peer).cloned(),
            credit: 0,
            pending: 0,
            write_timer: None,
            read_timer: None,
        })
    }

    fn parted(&self, left: &Link, right: Option<&Link>) -> bool {
        if !self.any_cut.load(Ordering::Relaxed) {
            return false;
        }
        // A peer without a link, such as a caller, stands wherever the server stands.
        let Some(right) = right.filter(|right| right.hall != left.hall) else {
            return false;
        };
        let cut = self.cut.read().unwrap_or_else(PoisonError::into_inner);
        cut.contains(&left.hall) || cut.contains(&right.hall)
    }
}

/// A connection on two links.
struct Shaped {
    stream: TcpStream,
    net: Arc<Net>,
    own: Arc<Link>,
    peer: Option<Arc<Link>>,
    credit: usize,
    pending: usize,
    write_timer: Option<Pin<Box<Sleep>>>,
    read_timer: Option<Pin<Box<Sleep>>>,
}

impl Shaped {
    fn blocked(&self) -> bool {
        let stalled = |link: &Link| link.stalled.load(Ordering::Relaxed);
        stalled(&self.own)
            || self.peer.as_deref().is_some_and(stalled)
            || self.net.parted(&self.own, self.peer.as_deref())
    }

    /// Takes time on both links for `bytes`.
    fn reserve(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let lock = |direction: &Mutex<Direction>| {
            direction
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .reserve(bytes, now)
        };
        let up = lock(&self.own.up);
        let down = self.peer.as_deref().map(|peer| lock(&peer.down));
        down.map_or(up, |down| up.max(down))
    }

    /// Waits until bytes may be written.
    fn poll_credit(&mut self, wanted: usize, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if let Some(timer) = &mut self.write_timer {
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.write_timer = None;
            }
            if self.blocked() {
                self.write_timer = Some(Box::pin(tokio::time::sleep(RECHECK)));
                continue;
            }
            if self.credit > 0 {
                return Poll::Ready(());
            }
            if self.pending > 0 {
                self.credit = self.pending;
                self.pending = 0;
                continue;
            }
            self.pending = wanted.min(QUANTUM);
            let through = self.reserve(self.pending);
            if through > Instant::now() {
                let timer = tokio::time::sleep_until(through.into());
                self.write_timer = Some(Box::pin(timer));
            }
        }
    }

    fn write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let bytes = &bytes[..bytes.len().min(self.credit)];
        if bytes.len() >= BULK && self.own.spoil() {
            let mut spoilt = bytes.to_vec();
            if let Some(last) = spoilt.last_mut() {
                *last ^= 0x40;
            }
            return Pin::new(&mut self.stream).poll_write(cx, &spoilt);
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }
}

impl Io for Shaped {
    fn is_read_closed(&self) -> bool {
        self.stream.is_read_closed()
    }

    fn unread(&self) -> usize {
        self.stream.unread()
    }
}

impl AsyncWrite for Shaped {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if self.poll_credit(bytes.len(), cx).is_pending() {
            return Poll::Pending;
        }
        let result = self.write(cx, bytes);
        if let Poll::Ready(Ok(written)) = result {
            self.credit -= written;
            let written = written as u64;
            self.own.sent.fetch_add(written, Ordering::Relaxed);
            if let Some(peer) = &self.peer {
                peer.received.fetch_add(written, Ordering::Relaxed);
            }
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl AsyncRead for Shaped {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.blocked() {
            let timer = self
                .read_timer
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(RECHECK)));
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.read_timer = None;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = (buffer.filled().len() - before) as u64;
        self.own.received.fetch_add(read, Ordering::Relaxed);
        if let Some(peer) = &self.peer {
            peer.sent.fetch_add(read, Ordering::Relaxed);
        }
        result
    }
}
