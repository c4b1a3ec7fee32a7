//! Draws the manifest and the chunks of a version.

use std::rc::{Rc, Weak};
use std::time::Duration;

use actix_http::StatusCode;
use actix_rt::time::sleep;
use futures_util::StreamExt;
use rand::RngExt;

use super::Burst;
use super::host::{Host, Origin, decode_manifest, swarm_url};
use crate::backoff::Backoff;
use crate::http;
use crate::spread::ring::{self, Member};
use crate::spread::swarm::{FetchKey, Outcome, Source};
use crate::weight::Manifest;

/// How long a manifest may take to begin to arrive.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer may take for it: it holds it or does not.
const PEER_MANIFEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause between two rounds of asking for the manifest.
const MANIFEST_PAUSE: Duration = Duration::from_millis(50);

/// First pause before the origin is asked for the manifest again, doubled up to
/// [`ORIGIN_PAUSE_MAX`]. Peers are asked meanwhile.
const ORIGIN_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause, so that eighty processes reset by an origin without a free connection ask it 50
/// times a second in all, instead of each 20 times.
const ORIGIN_PAUSE_MAX: Duration = Duration::from_millis(1_600);

/// Rounds after which a box that is no sponsor asks the origin for the manifest itself.
const MANIFEST_ROUNDS: u32 = 40;

/// Rounds of which one asks any peer for the manifest, and the others a relay of the hall.
const ANY_PEER_ROUNDS: u32 = 4;

/// Longest manifest.
const MANIFEST_MAX: usize = 8 << 20;

/// Asks the origin or peers until a manifest holds.
pub(super) async fn manifest(host: &Rc<Host>, burst: &Weak<Burst>) -> Option<Manifest> {
    let mut round = 0;
    let mut backoff = Backoff::new(ORIGIN_PAUSE, ORIGIN_PAUSE_MAX);
    let mut origin_due = host.clock.now();
    loop {
        let strong = burst.upgrade()?;
        if strong.at_rest.get() {
            return None;
        }
        let (version, origin) = (strong.version, strong.origin.clone());
        let sources = strong.manifest_sources(host, round);
        drop(strong);
        for source in sources {
            let now = host.clock.now();
            if source.is_origin() && now < origin_due {
                continue;
            }
            if source.is_origin() {
                let jitter = rand::rng().random_range(0.7..1.3);
                origin_due = now + backoff.failed().mul_f64(jitter);
            }
            match source.get(host, &*origin).await {
                Ok(manifest) => match origin.check(version, &manifest) {
                    Ok(()) => return Some(manifest),
                    Err(error) => log::warn!(source = source.url(); "{error}"),
                },
                Err(reason) if source.is_origin() => host.instruments.origin_failed(&reason),
                Err(reason) => log::debug!(source = source.url(); "manifest: {reason}"),
            }
        }
        round += 1;
        sleep(MANIFEST_PAUSE).await;
    }
}

/// Where a manifest may come from.
enum ManifestSource {
    Origin(String),
    Peer(String),
}

impl ManifestSource {
    fn is_origin(&self) -> bool {
        matches!(self, Self::Origin(_))
    }

    fn url(&self) -> &str {
        match self {
            Self::Origin(url) | Self::Peer(url) => url,
        }
    }

    async fn get(&self, host: &Host, origin: &dyn Origin) -> Result<Manifest, String> {
        let first = match self {
            Self::Origin(_) => MANIFEST_TIMEOUT,
            Self::Peer(_) => PEER_MANIFEST_TIMEOUT,
        };
        let request = prepare(host, self.url(), self.is_origin());
        let body = http::receive(request, MANIFEST_MAX, first);
        let body = body.await.map_err(|error| error.to_string())?;
        let manifest = match self {
            Self::Origin(_) => origin.decode(&body),
            Self::Peer(_) => decode_manifest(&body),
        };
        manifest.map_err(|error| error.to_string())
    }
}

impl Burst {
    fn manifest_sources(&self, host: &Host, round: u32) -> Vec<ManifestSource> {
        let members = self.ring();
        let relays = self.relays();
        let drawing = ring::drawing(&members, &relays);
        let sponsors = ring::sponsors(self.version, &drawing, host.spread.sponsors);
        let mut sources = Vec::new();
        let asks_origin = sponsors.contains(&host.name) || round >= MANIFEST_ROUNDS;
        if asks_origin && !self.options.peers_only {
            let url = self.origin.manifest_url(self.version);
            sources.push(ManifestSource::Origin(url));
        }
        let near = |member: &&Member| member.hall == host.hall && relays.contains(&member.name);
        let mut others: Vec<&Member> = members
            .iter()
            .filter(|member| member.name != host.name)
            .collect();
        // Relays have it first, and those of the own hall are near; another may be asked in between.
        let nearest: Vec<&Member> = others.iter().copied().filter(near).collect();
        if !nearest.is_empty() && !round.is_multiple_of(ANY_PEER_ROUNDS) {
            others = nearest;
        }
        if !others.is_empty() {
            let index = rand::rng().random_range(0..others.len());
            let address = self.members.borrow()[&others[index].name].address;
            let base = swarm_url(address, self.version);
            sources.push(ManifestSource::Peer(format!("{base}/manifest")));
        }
        sources
    }
}

/// A request for weights. A connection to the origin ends with its exchange: the origin accepts few
/// from all callers together, and one that rests when its machine loses power counts there for as
/// long as the origin does not notice. Two such losses within 5 s locked everyone out for good. A new
/// connection costs about 10 ms between regions, where a chunk takes 27 ms on the origin's link.
fn prepare(host: &Host, url: &str, origin: bool) -> awc::ClientRequest {
    let request = host.connections.get(url);
    if origin {
        request.force_close()
    } else {
        request
    }
}

/// One chunk to draw.
pub(super) struct Draw {
    /// The fetch that reports back.
    pub key: FetchKey,
    /// The chunk's place in the manifest.
    pub chunk: u32,
    /// Whom to ask.
    pub source: Source,
    /// Where exactly.
    pub url: String,
}

/// Draws one chunk and reports how that ended.
pub(super) async fn fetch(host: Rc<Host>, burst: Weak<Burst>, draw: Draw) {
    let outcome = draw.run(&host, &burst).await;
    if let Some(strong) = burst.upgrade() {
        strong.fetches.borrow_mut().remove(&draw.key);
        strong.finish(&host, draw.key, draw.chunk, outcome);
        strong.plan(&host);
    }
}

impl Draw {
    async fn run(&self, host: &Rc<Host>, burst: &Weak<Burst>) -> Outcome {
        let Some(version) = burst.upgrade().map(|burst| burst.version) else {
            return Outcome::Failed;
        };
        let request = prepare(host, &self.url, self.source == Source::Origin);
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                self.note_failure(host, &error.to_string());
                return Outcome::Failed;
            }
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Outcome::Busy,
            status => {
                self.note_failure(host, &format!("answered {status}"));
                return Outcome::Failed;
            }
        }
        let Ok(mut receipt) = host.store.borrow().receive(version, self.chunk) else {
            return Outcome::Failed;
        };
        while let Some(part) = response.next().await {
            let part = match part {
                Ok(part) => part,
                Err(error) => {
                    self.note_failure(host, &error.to_string());
                    return Outcome::Failed;
                }
            };
            if receipt.push(&part).is_err() {
                return Outcome::Corrupt;
            }
            if let Some(strong) = burst.upgrade()
                && let Some(swarm) = strong.swarm.borrow_mut().as_mut()
            {
                swarm.progress(self.key, host.clock.now());
            }
        }
        if !receipt.full() {
            return Outcome::Failed;
        }
        let Ok(chunk) = receipt.finish() else {
            log::warn!(source = self.url.as_str(); "chunk failed verification");
            return Outcome::Corrupt;
        };
        if self.source == Source::Origin {
            host.instruments.drew(chunk.len() as u64);
            log::info!(chunk = self.chunk, version:? = version; "chunk drawn from the origin");
        }
        match host.store.borrow_mut().put(chunk) {
            Ok(true) => Outcome::Stored,
            _ => Outcome::Failed,
        }
    }

    fn note_failure(&self, host: &Host, reason: &str) {
        if self.source == Source::Origin {
            host.instruments.origin_failed(reason);
        }
    }
}
