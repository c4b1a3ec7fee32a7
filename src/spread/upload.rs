//! Scheduling of uploads. A box has a few upload slots. Requests for chunks that it has not
//! uploaded yet come first, and a reader that has stopped reading does not occupy a slot.

use std::time::Duration;

use slotmap::SlotMap;

use crate::clock::Time;

slotmap::new_key_type! {
    /// An upload, waiting or running.
    pub struct UploadKey;
}

/// A reader that has taken no bytes for this long loses its slot. Its upload goes on.
const SLOW_READER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of uploads to slow readers, besides those that occupy a slot. No further upload
/// starts while there are this many.
const SLOW_UPLOADS_MAX: usize = 8;

/// State of an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Running { last_progress: Time },
}

#[derive(Debug)]
struct Upload {
    chunk: u32,
    sequence: u64,
    state: State,
}

/// Result of a request for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The upload starts at once.
    Start(UploadKey),
    /// The upload starts when [`Queue::next`] returns its key.
    Wait(UploadKey),
    /// The queue is full. The reader should ask another box.
    Busy,
}

/// The uploads of one version from this box.
#[derive(Debug)]
pub struct Queue {
    slots: usize,
    waiting_max: usize,
    last_sequence: u64,
    uploads: SlotMap<UploadKey, Upload>,
    serve_counts: Vec<u32>,
}

impl Queue {
    /// Creates a queue that runs `slots` uploads at a time and lets `waiting_max` more wait.
    pub fn new(slots: usize, waiting_max: usize) -> Self {
        Self {
            slots,
            waiting_max,
            last_sequence: 0,
            uploads: SlotMap::with_key(),
            serve_counts: Vec::new(),
        }
    }

    /// Admits or rejects a request for `chunk`.
    pub fn request(&mut self, chunk: u32, now: Time) -> Admission {
        if self.slot_free(now) {
            return Admission::Start(self.insert(chunk, State::Running { last_progress: now }));
        }
        if self.waiting() >= self.waiting_max {
            return Admission::Busy;
        }
        Admission::Wait(self.insert(chunk, State::Waiting))
    }

    /// Marks the next waiting upload as running and returns it, if a slot is free.
    pub fn next(&mut self, now: Time) -> Option<UploadKey> {
        if !self.slot_free(now) {
            return None;
        }
        let serve_counts = &self.serve_counts;
        let key = self
            .uploads
            .iter()
            .filter(|(_, upload)| upload.state == State::Waiting)
            .min_by_key(|(_, upload)| {
                let times = serve_counts
                    .get(upload.chunk as usize)
                    .copied()
                    .unwrap_or(0);
                (times > 0, upload.sequence)
            })
            .map(|(key, _)| key)?;
        self.uploads[key].state = State::Running { last_progress: now };
        Some(key)
    }

    /// Records that the reader has taken some bytes.
    pub fn record_progress(&mut self, key: UploadKey, now: Time) {
        if let Some(upload) = self.uploads.get_mut(key) {
            upload.state = State::Running { last_progress: now };
        }
    }

    /// Removes an upload that has ended, completely or not.
    pub fn finish(&mut self, key: UploadKey, completed: bool) {
        let Some(upload) = self.uploads.remove(key) else {
            return;
        };
        if completed {
            let index = upload.chunk as usize;
            if self.serve_counts.len() <= index {
                self.serve_counts.resize(index + 1, 0);
            }
            self.serve_counts[index] += 1;
        }
    }

    /// Returns the number of uploads that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.uploads
            .values()
            .filter(|upload| upload.state == State::Waiting)
            .count()
    }

    /// Returns the number of uploads that are waiting or running, as a measure of how long a reader
    /// may have to wait.
    pub fn load(&self) -> usize {
        self.uploads.len()
    }

    fn slot_free(&self, now: Time) -> bool {
        self.running(now) < self.slots && self.slow_uploads(now) < SLOW_UPLOADS_MAX
    }

    fn running(&self, now: Time) -> usize {
        self.count_running(|idle| idle < SLOW_READER_TIMEOUT, now)
    }

    fn slow_uploads(&self, now: Time) -> usize {
        self.count_running(|idle| idle >= SLOW_READER_TIMEOUT, now)
    }

    fn count_running(&self, counts: impl Fn(Duration) -> bool, now: Time) -> usize {
        self.uploads
            .values()
            .filter(|upload| match upload.state {
                State::Running { last_progress } => counts(now.since(last_progress)),
                State::Waiting => false,
            })
            .count()
    }

    fn insert(&mut self, chunk: u32, state: State) -> UploadKey {
        self.last_sequence += 1;
        self.uploads.insert(Upload {
            chunk,
            sequence: self.last_sequence,
            state,
        })
    }
}
