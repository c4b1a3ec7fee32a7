//! Tells whoever waits for an exchange that its peer may not answer any more.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// An alarm, raised when a peer is silent for so long that another one should be asked as well.
/// Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Alarm(Rc<State>);

#[derive(Debug, Default)]
struct State {
    raised: Cell<bool>,
    notify: Notify,
}

impl Alarm {
    /// Raises the alarm.
    pub fn raise(&self) {
        self.0.raised.set(true);
        self.0.notify.notify_one();
    }

    /// Withdraws the alarm: the peer has answered.
    pub fn clear(&self) {
        self.0.raised.set(false);
    }

    /// Waits until the alarm is raised, and withdraws it.
    pub async fn raised(&self) {
        while !self.0.raised.take() {
            self.0.notify.notified().await;
        }
    }
}
