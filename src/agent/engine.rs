//! Brings the engine to the desired state under the current fence, and maintains the version gate.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::Agent;
use crate::audit::Event;
use crate::clock::{Time, unix_millis};
use crate::http::{self, Error};
use crate::version::{self, Command, EngineState, Fence, LoadState, LocalState, Order, OrderKind};
use crate::weight::Digest;

/// Interval at which the engine's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the engine's state is polled while it is loading a version.
const POLL_INTERVAL_LOADING: Duration = Duration::from_millis(30);

/// Timeout of an order to the engine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a poll. With [`POLL_INTERVAL`] it is shorter than [`PAUSE_THRESHOLD`], so that a silent
/// engine does not look like a pause of this process.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an engine may be silent before its versions no longer count as servable. A sound engine
/// may pause for 2.2 s; requests that are sent to it meanwhile are answered when it goes on.
const SILENCE_MAX: Duration = Duration::from_secs(5);

/// Maximum size of an answer of the engine, in bytes.
const ANSWER_MAX: usize = 1 << 20;

/// Time between two polls after which the process is assumed to have been paused, so that its
/// configuration may be outdated.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// How long a process that was paused waits for a current configuration. It then continues with the
/// one that it has, because a disconnected hall must keep working.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(3);

/// Polls and commands the engine until dropped.
pub async fn run(agent: Rc<Agent>) {
    let mut last_poll = agent.node.clock.now();
    let mut last_answer = last_poll;
    loop {
        let interval = if agent.loading() {
            POLL_INTERVAL_LOADING
        } else {
            POLL_INTERVAL
        };
        let _ = actix_rt::time::timeout(interval, agent.host.wake.notified()).await;
        refresh_after_pause(&agent, last_poll).await;
        last_poll = agent.node.clock.now();
        if agent.setting.node.role == crate::member::Role::Model {
            poll(&agent, &mut last_answer).await;
        }
    }
}

/// If the process was paused, waits for a current configuration before orders are sent.
async fn refresh_after_pause(agent: &Agent, last_poll: Time) {
    if agent.node.clock.now().since(last_poll) < PAUSE_THRESHOLD {
        return;
    }
    log::warn!("process was paused; waiting for a current configuration before sending orders");
    agent.node.ready.send_replace(false);
    let mut ready = agent.node.ready.subscribe();
    let _ = actix_rt::time::timeout(CONFIG_TIMEOUT, ready.wait_for(|ready| *ready)).await;
    agent.node.ready.send_replace(true);
}

/// Polls the engine, and sends it orders. `last_answer` is when it last reported its state.
async fn poll(agent: &Rc<Agent>, last_answer: &mut Time) {
    let state = match fetch_state(agent).await {
        Ok(state) => state,
        // The engine may only pause: what it last reported is still in force.
        Err(Error::Exchange { .. }) if agent.node.clock.now().since(*last_answer) < SILENCE_MAX => {
            return;
        }
        Err(_) => {
            // No version is servable at an engine that cannot be reached.
            agent.apply_engine_state(EngineState::default());
            return;
        }
    };
    *last_answer = agent.node.clock.now();
    if !agent.acquire_control(&state) {
        agent.apply_engine_state(EngineState::default());
        return;
    }
    agent.apply_engine_state(state);
    if !*agent.node.ready.borrow() || agent.is_assignment_unknown() {
        return;
    }
    for command in agent.commands() {
        send_order(agent, command).await;
    }
    agent.release_unused();
}

async fn fetch_state(agent: &Agent) -> Result<EngineState, Error> {
    let url = format!("http://{}/v1/state", agent.setting.target_address);
    http::get_json(&agent.node.client.0, &url, ANSWER_MAX, STATE_TIMEOUT).await
}

async fn send_order(agent: &Agent, command: Command) {
    let kind = match command {
        Command::Unload(digest) => OrderKind::Unload { digest },
        Command::Load(digest) => OrderKind::Load {
            digest,
            source: format!("http://{}/v1/weights/{digest}", agent.node.setting.listen),
            bytes: agent
                .host
                .store
                .borrow()
                .manifest(digest)
                .map_or(0, |manifest| manifest.model_bytes),
        },
    };
    let order = Order {
        fence: agent.fence(),
        kind,
    };
    let url = format!("http://{}/v1/orders", agent.setting.target_address);
    let accepted: Result<Fence, Error> =
        http::post_json(&agent.node.client.0, &url, &order, ANSWER_TIMEOUT).await;
    match (accepted, command) {
        (Ok(_), Command::Load(digest)) => {
            agent.gate.borrow_mut().ordered.insert(digest);
            agent.node.audit(Event::LoadOrdered {
                version: digest.short(),
            });
        }
        (Ok(_), Command::Unload(digest)) => {
            agent.gate.borrow_mut().ordered.remove(&digest);
        }
        (Err(error), _) => log::warn!("order to the engine failed: {error}"),
    }
}

impl Agent {
    fn loading(&self) -> bool {
        let gate = self.gate.borrow();
        gate.engine
            .versions
            .values()
            .any(|load_state| *load_state == LoadState::Loading)
    }

    /// Whether the assignment of weights to this box is still unknown.
    fn is_assignment_unknown(&self) -> bool {
        let view = self.node.view.borrow();
        view.get(&self.node.setting.name).is_none()
    }

    /// Acquires control of the engine under this process's incarnation. Returns whether the process is in
    /// control. It never is again after another process has outranked it.
    fn acquire_control(&self, state: &EngineState) -> bool {
        let mut gate = self.gate.borrow_mut();
        if gate.incarnation == 0 {
            gate.incarnation = Fence::next_incarnation(state.highest_fence, unix_millis());
        }
        let in_control = state.highest_fence.incarnation <= gate.incarnation;
        if !in_control && !gate.outranked {
            gate.outranked = true;
            drop(gate);
            self.node.audit(Event::Outranked);
        }
        in_control
    }

    /// Applies the engine's report, and updates which versions are servable.
    fn apply_engine_state(&self, state: EngineState) {
        let mut gate = self.gate.borrow_mut();
        // A version that the engine has lost, for example in a restart, has to be ordered again.
        gate.ordered
            .retain(|digest| state.versions.contains_key(digest));
        let capacity_changed = gate.engine.capacity != state.capacity;
        self.in_flight.borrow_mut().set_capacity(state.capacity);
        gate.engine = state;
        drop(gate);
        let servable: Vec<Digest> = self
            .local_states()
            .into_iter()
            .filter(|(digest, local)| {
                let load_state = self.gate.borrow().engine.versions.get(digest).copied();
                version::servable(*local, load_state)
            })
            .map(|(digest, _)| digest)
            .collect();
        self.set_servable(servable, capacity_changed);
    }

    fn set_servable(&self, servable: Vec<Digest>, capacity_changed: bool) {
        let before = std::mem::replace(&mut self.gate.borrow_mut().servable, servable.clone());
        for digest in servable.iter().filter(|digest| !before.contains(digest)) {
            self.node.audit(Event::Servable {
                version: digest.short(),
            });
        }
        for digest in before.iter().filter(|digest| !servable.contains(digest)) {
            self.node.audit(Event::NotServable {
                version: digest.short(),
            });
        }
        if before != servable || capacity_changed {
            self.notify_report();
        }
    }

    fn local_states(&self) -> BTreeMap<Digest, LocalState> {
        let store = self.host.store.borrow();
        let gate = self.gate.borrow();
        let in_flight = self.in_flight.borrow();
        self.bursts
            .borrow()
            .iter()
            .map(|(digest, burst)| {
                let local = LocalState {
                    desired: burst.wanted(),
                    complete: store.complete(*digest),
                    in_flight: in_flight.on_version(*digest),
                    ordered: gate.ordered.contains(digest),
                };
                (*digest, local)
            })
            .collect()
    }

    fn commands(&self) -> Vec<Command> {
        version::plan(&self.local_states(), &self.gate.borrow().engine)
    }

    /// Releases versions that no configuration, request, peer or engine needs.
    fn release_unused(&self) {
        let now = self.node.clock.now();
        let released: Vec<Digest> = self
            .bursts
            .borrow()
            .iter()
            .filter(|(digest, burst)| {
                let at_engine = self.gate.borrow().engine.versions.contains_key(digest);
                let used = self.in_flight.borrow().on_version(**digest) > 0;
                burst.releasable(now) && !at_engine && !used
            })
            .map(|(digest, _)| *digest)
            .collect();
        for digest in released {
            self.bursts.borrow_mut().remove(&digest);
            self.host.store.borrow_mut().release(digest);
            self.node.audit(Event::Released {
                version: digest.short(),
            });
        }
    }
}
