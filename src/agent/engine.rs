//! Brings the engine to what is wanted, under the present fence, and keeps the version gate.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::Agent;
use crate::audit::Event;
use crate::clock::{Time, unix_millis};
use crate::http::{self, Error};
use crate::version::{self, Command, EngineState, Fence, LoadState, LocalState, Order, OrderKind};
use crate::weight::Digest;

/// How often the engine is asked for its state.
const POLL: Duration = Duration::from_millis(250);

/// How often while it loads something.
const POLL_LOADING: Duration = Duration::from_millis(30);

/// How long the engine may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer of the engine.
const ANSWER_MAX: usize = 1 << 20;

/// A loop that comes round this late was paused, and what it believes may be old.
const PAUSED: Duration = Duration::from_secs(2);

/// How long a process that was paused waits for fresh configuration before it goes on with what it
/// has: a hall that is cut off must go on.
const LOOK_AGAIN: Duration = Duration::from_secs(3);

/// Runs until dropped.
pub async fn run(agent: Rc<Agent>) {
    let mut last_pass = agent.node.clock.now();
    loop {
        let pause = if agent.loading() { POLL_LOADING } else { POLL };
        let _ = actix_rt::time::timeout(pause, agent.host.wake.notified()).await;
        look_again_after_pause(&agent, last_pass).await;
        last_pass = agent.node.clock.now();
        if agent.setting.node.role == crate::member::Role::Model {
            pass(&agent).await;
        }
    }
}

/// A process that was paused looks at the configuration again before it gives orders.
async fn look_again_after_pause(agent: &Agent, last_pass: Time) {
    if agent.node.clock.now().since(last_pass) < PAUSED {
        return;
    }
    log::warn!("this process was paused; looking again before giving orders");
    agent.node.ready.send_replace(false);
    let mut ready = agent.node.ready.subscribe();
    let _ = actix_rt::time::timeout(LOOK_AGAIN, ready.wait_for(|ready| *ready)).await;
    agent.node.ready.send_replace(true);
}

async fn pass(agent: &Rc<Agent>) {
    let Ok(state) = engine_state(agent).await else {
        // An engine that does not answer serves nothing.
        agent.take_engine_state(EngineState::default());
        return;
    };
    if !agent.take_charge(&state) {
        agent.take_engine_state(EngineState::default());
        return;
    }
    agent.take_engine_state(state);
    if !*agent.node.ready.borrow() || agent.bursts_unknown() {
        return;
    }
    for step in agent.steps() {
        order(agent, step).await;
    }
    agent.release();
}

async fn engine_state(agent: &Agent) -> Result<EngineState, Error> {
    let url = format!("http://{}/v1/state", agent.setting.target_address);
    http::get_json(&agent.node.client.0, &url, ANSWER_MAX, TIMEOUT).await
}

async fn order(agent: &Agent, step: Command) {
    let kind = match step {
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
    let taken: Result<Fence, Error> =
        http::post_json(&agent.node.client.0, &url, &order, TIMEOUT).await;
    match (taken, step) {
        (Ok(_), Command::Load(digest)) => {
            agent.gate.borrow_mut().ordered.insert(digest);
            agent.node.audit(Event::LoadOrdered {
                version: digest.short(),
            });
        }
        (Ok(_), Command::Unload(digest)) => {
            agent.gate.borrow_mut().ordered.remove(&digest);
        }
        (Err(error), _) => log::warn!("order refused: {error}"),
    }
}

impl Agent {
    fn loading(&self) -> bool {
        let gate = self.gate.borrow();
        gate.engine
            .versions
            .values()
            .any(|residence| *residence == LoadState::Loading)
    }

    /// Whether it is still unknown what this box should carry.
    fn bursts_unknown(&self) -> bool {
        let view = self.node.view.borrow();
        view.get(&self.node.setting.name).is_none()
    }

    /// Takes the engine under this process's incarnation. Returns whether it is in charge: once
    /// another process has outranked it, it never is again.
    fn take_charge(&self, state: &EngineState) -> bool {
        let mut gate = self.gate.borrow_mut();
        if gate.incarnation == 0 {
            gate.incarnation = Fence::next_incarnation(state.highest_fence, unix_millis());
        }
        let in_charge = state.highest_fence.incarnation <= gate.incarnation;
        if !in_charge && !gate.outranked {
            gate.outranked = true;
            drop(gate);
            self.node.audit(Event::Outranked);
        }
        in_charge
    }

    /// Takes the engine's report, and opens or closes the gate of each version.
    fn take_engine_state(&self, state: EngineState) {
        let mut gate = self.gate.borrow_mut();
        // A version that the engine lost, with a restart perhaps, has to be ordered anew.
        gate.ordered
            .retain(|digest| state.versions.contains_key(digest));
        let load_changed = gate.engine.capacity != state.capacity;
        self.in_flight.borrow_mut().set_capacity(state.capacity);
        gate.engine = state;
        drop(gate);
        let servable: Vec<Digest> = self
            .locals()
            .into_iter()
            .filter(|(digest, local)| {
                let residence = self.gate.borrow().engine.versions.get(digest).copied();
                version::servable(*local, residence)
            })
            .map(|(digest, _)| digest)
            .collect();
        self.set_servable(servable, load_changed);
    }

    fn set_servable(&self, servable: Vec<Digest>, load_changed: bool) {
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
        if before != servable || load_changed {
            self.report();
        }
    }

    fn locals(&self) -> BTreeMap<Digest, LocalState> {
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

    fn steps(&self) -> Vec<Command> {
        version::plan(&self.locals(), &self.gate.borrow().engine)
    }

    /// Lets go of versions that no configuration, request, peer or engine needs.
    fn release(&self) {
        let now = self.node.clock.now();
        let released: Vec<Digest> = self
            .bursts
            .borrow()
            .iter()
            .filter(|(digest, burst)| {
                let held = self.gate.borrow().engine.versions.contains_key(digest);
                let used = self.in_flight.borrow().on_version(**digest) > 0;
                burst.releasable(now) && !held && !used
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
