//! The schedule of uploads: few at a time, the chunk that was served least first, and no slot for
//! a reader that has stopped reading.

use std::time::Duration;

use slotmap::SlotMap;

use crate::clock::Time;

slotmap::new_key_type! {
    /// One upload, waiting or running.
    pub struct UploadKey;
}

/// A reader that took nothing for so long loses its slot (not its upload).
const SLOW_READER: Duration = Duration::from_millis(400);

/// Uploads to slow readers that are kept going beside the slots.
const PARKED_MAX: usize = 8;

/// Where an upload stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Running { progressed: Time },
}

#[derive(Debug)]
struct Upload {
    chunk: u32,
    arrived: u64,
    state: State,
}

/// What becomes of a request for a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it now.
    Start(UploadKey),
    /// Send it when [`Queue::next`] names it.
    Wait(UploadKey),
    /// Too many wait: the reader should ask another box.
    Busy,
}

/// The uploads of one box.
#[derive(Debug)]
pub struct Queue {
    slots: usize,
    waiting_max: usize,
    arrivals: u64,
    uploads: SlotMap<UploadKey, Upload>,
    served: Vec<u32>,
}

impl Queue {
    /// A queue with `slots` uploads at a time and `waiting_max` behind them.
    pub fn new(slots: usize, waiting_max: usize) -> Self {
        Self {
            slots,
            waiting_max,
            arrivals: 0,
            uploads: SlotMap::with_key(),
            served: Vec::new(),
        }
    }

    /// Takes a request for `chunk`.
    pub fn request(&mut self, chunk: u32, now: Time) -> Admission {
        if self.slot_free(now) {
            return Admission::Start(self.insert(chunk, State::Running { progressed: now }));
        }
        if self.waiting() >= self.waiting_max {
            return Admission::Busy;
        }
        Admission::Wait(self.insert(chunk, State::Waiting))
    }

    /// Names the next upload to start, if a slot is free.
    pub fn next(&mut self, now: Time) -> Option<UploadKey> {
        if !self.slot_free(now) {
            return None;
        }
        let served = &self.served;
        let key = self
            .uploads
            .iter()
            .filter(|(_, upload)| upload.state == State::Waiting)
            .min_by_key(|(_, upload)| {
                let times = served.get(upload.chunk as usize).copied().unwrap_or(0);
                (times > 0, upload.arrived)
            })
            .map(|(key, _)| key)?;
        self.uploads[key].state = State::Running { progressed: now };
        Some(key)
    }

    /// The reader took some bytes.
    pub fn progress(&mut self, key: UploadKey, now: Time) {
        if let Some(upload) = self.uploads.get_mut(key) {
            upload.state = State::Running { progressed: now };
        }
    }

    /// The upload ended, whole or not.
    pub fn finish(&mut self, key: UploadKey, whole: bool) {
        let Some(upload) = self.uploads.remove(key) else {
            return;
        };
        if whole {
            let index = upload.chunk as usize;
            if self.served.len() <= index {
                self.served.resize(index + 1, 0);
            }
            self.served[index] += 1;
        }
    }

    /// Uploads that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.uploads
            .values()
            .filter(|upload| upload.state == State::Waiting)
            .count()
    }

    /// Uploads waiting or running: what a reader should expect before it.
    pub fn load(&self) -> usize {
        self.uploads.len()
    }

    fn slot_free(&self, now: Time) -> bool {
        self.running(now) < self.slots && self.parked(now) < PARKED_MAX
    }

    fn running(&self, now: Time) -> usize {
        self.count_running(|quiet| quiet < SLOW_READER, now)
    }

    fn parked(&self, now: Time) -> usize {
        self.count_running(|quiet| quiet >= SLOW_READER, now)
    }

    fn count_running(&self, counts: impl Fn(Duration) -> bool, now: Time) -> usize {
        self.uploads
            .values()
            .filter(|upload| match upload.state {
                State::Running { progressed } => counts(now.since(progressed)),
                State::Waiting => false,
            })
            .count()
    }

    fn insert(&mut self, chunk: u32, state: State) -> UploadKey {
        self.arrivals += 1;
        self.uploads.insert(Upload {
            chunk,
            arrived: self.arrivals,
            state,
        })
    }
}
