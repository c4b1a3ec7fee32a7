//! The socket of a connection, whose receive buffer grows as far as the process has memory for it.

use std::io::{self, IoSlice};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

use crate::clock::Clock;
use crate::limit::window::{Pool, Window};

/// Reads of one turn, after which a socket yields to the other futures of its task. Timers beside a
/// peer that always has more to read would otherwise find the task's budget used up, and never run.
const TURN_READS_MAX: u32 = 16;

/// A connected socket.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    clock: Clock,
    window: Window,
    /// Reads of this turn.
    reads: u32,
}

impl Socket {
    /// Connects to `peer` from the address `local`, with a buffer that grows out of `pool`.
    pub(super) async fn connect(
        peer: SocketAddr,
        local: Option<IpAddr>,
        clock: Clock,
        pool: &Pool,
    ) -> io::Result<Self> {
        let socket = if peer.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if let Some(local) = local {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let window = pool.window();
        // A buffer that is made smaller later drops what the peer was already allowed to send.
        set_size(SockRef::from(&socket), window.size());
        let stream = socket.connect(peer).await?;
        Ok(Self {
            stream,
            clock,
            window,
            reads: 0,
        })
    }

    /// Begins a turn: the reader of this connection is polled, and has got nothing yet.
    pub(super) fn begin_turn(&mut self) {
        self.reads = 0;
    }

    /// The underlying socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether the connection may be kept for a later exchange.
    pub(super) fn may_rest(&self) -> bool {
        self.window.may_rest()
    }
}

fn set_size(socket: SockRef<'_>, bytes: u64) {
    // The kernel sets aside twice as much as it is asked for.
    if let Err(error) = socket.set_recv_buffer_size(bytes as usize / 2) {
        log::debug!(bytes; "cannot set the size of a receive buffer: {error}");
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.reads >= TURN_READS_MAX {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        this.reads += 1;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let now = this.clock.now();
        if polled.is_ready() {
            let read = buffer.filled().len() - before;
            this.window.record_read(read as u64, now);
        } else if this.window.record_empty(now) {
            set_size(SockRef::from(&this.stream), this.window.size());
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
