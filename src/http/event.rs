//! Splits a stream of server-sent events at their ends.

use bytes::BytesMut;

/// Received bytes that are not a whole event yet. Each byte is scanned once, however few arrive at a
/// time.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: BytesMut,
    /// Bytes in which no event ends.
    scanned: usize,
    /// Where the line begins that contains the byte after them.
    line_start: usize,
}

impl Buffer {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the first event, with its empty line.
    pub fn next_event(&mut self) -> Option<BytesMut> {
        let is_end = |byte: &u8| *byte == b'\n';
        while let Some(offset) = self.bytes[self.scanned..].iter().position(is_end) {
            let end = self.scanned + offset;
            let line = &self.bytes[self.line_start..end];
            let is_empty = line.is_empty() || line == b"\r";
            self.scanned = end + 1;
            self.line_start = end + 1;
            if is_empty {
                (self.scanned, self.line_start) = (0, 0);
                return Some(self.bytes.split_to(end + 1));
            }
        }
        self.scanned = self.bytes.len();
        None
    }

    /// Bytes of the partial event.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there is no partial event.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Discards the partial event.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
