//! Fetches the manifest and the chunks of a version.

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
use crate::weight::{Digest, Manifest};

/// Timeout for the first byte of a manifest from the origin.
const MANIFEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The same for a peer, which has the manifest in memory or rejects the request at once.
const PEER_MANIFEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay between two rounds of requests for the manifest.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay before the origin is first asked for the manifest again, doubled up to
/// [`ORIGIN_RETRY_DELAY_MAX`]. Peers are asked in the meantime.
const ORIGIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum of this delay. When the origin has no free connection and resets requests, 80 processes
/// send 50 requests per second in total instead of 20 each.
const ORIGIN_RETRY_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// Delay before peers are asked again after the manifest of one was refused, doubled up to
/// [`REFUSAL_DELAY_MAX`].
const REFUSAL_DELAY: Duration = Duration::from_millis(100);

/// Maximum of this delay.
const REFUSAL_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// Rounds after which a box that is not a sponsor also asks the origin for the manifest.
const ORIGIN_FALLBACK_ROUNDS: u32 = 40;

/// One round in this many asks any peer for the manifest. The others ask a relay of the own hall,
/// if there is one, since relays are the first to have the manifest.
const ANY_PEER_INTERVAL: u32 = 4;

/// Delay before another copy of a doubted manifest is asked for again, doubled up to
/// [`CORRECTION_DELAY_MAX`].
const CORRECTION_DELAY: Duration = Duration::from_millis(200);

/// Maximum of this delay.
const CORRECTION_DELAY_MAX: Duration = Duration::from_millis(1_600);

/// Rounds after which a box that is not a sponsor also asks the origin for another copy: its peers may
/// all have received the same one.
const CORRECTION_ORIGIN_ROUNDS: u32 = 3;

/// Maximum size of an encoded manifest.
const MANIFEST_BYTES_MAX: usize = 8 << 20;

/// Asks the origin or peers until one returns a valid manifest.
pub(super) async fn manifest(host: &Rc<Host>, burst: &Weak<Burst>) -> Option<Manifest> {
    let mut round = 0;
    let mut backoff = Backoff::new(ORIGIN_RETRY_DELAY, ORIGIN_RETRY_DELAY_MAX);
    let mut refusals = Backoff::new(REFUSAL_DELAY, REFUSAL_DELAY_MAX);
    let mut origin_retry_at = host.clock.now();
    let mut peer_retry_at = host.clock.now();
    // Layout of the last copy from the origin that only another copy can confirm.
    let mut unconfirmed = None;
    loop {
        let strong = burst.upgrade()?;
        if strong.suspended.get() {
            return None;
        }
        let (version, origin) = (strong.version, strong.origin.clone());
        let sources = strong.manifest_sources(host, round, ORIGIN_FALLBACK_ROUNDS);
        drop(strong);
        for source in sources {
            let now = host.clock.now();
            if source.is_origin() && now < origin_retry_at {
                continue;
            }
            if !source.is_origin() && now < peer_retry_at {
                continue;
            }
            if source.is_origin() {
                let jitter = rand::rng().random_range(0.7..1.3);
                origin_retry_at = now + backoff.next_delay().mul_f64(jitter);
            }
            match source.get(host, &*origin).await {
                Ok(manifest) => match source.check(host, &*origin, version, &manifest) {
                    Ok(()) => {
                        let layout = manifest.layout();
                        let needs_copy = source.is_origin()
                            && !host.store.borrow().is_chunk_count_known()
                            && manifest.digest() != version;
                        if !needs_copy || unconfirmed.replace(layout) == Some(layout) {
                            return Some(manifest);
                        }
                    }
                    Err(Refused) if source.is_origin() => {}
                    Err(Refused) => peer_retry_at = now + refusals.next_delay(),
                },
                Err(reason) if source.is_origin() => host.instruments.origin_failed(&reason),
                Err(reason) => log::debug!(source = source.url(); "no manifest: {reason}"),
            }
        }
        round += 1;
        sleep(MANIFEST_RETRY_DELAY).await;
    }
}

/// Asks for other copies of the manifest until one corrects the digests that are doubted, or chunks
/// match them after all.
pub(super) async fn correct_manifest(host: Rc<Host>, burst: Weak<Burst>) {
    let mut backoff = Backoff::new(CORRECTION_DELAY, CORRECTION_DELAY_MAX);
    for round in 0.. {
        let Some(strong) = burst.upgrade() else {
            return;
        };
        if strong.suspended.get() || strong.doubts.borrow().doubted().is_empty() {
            strong.correcting.set(false);
            return;
        }
        let (version, origin) = (strong.version, strong.origin.clone());
        let sources = strong.manifest_sources(&host, round, CORRECTION_ORIGIN_ROUNDS);
        drop(strong);
        for source in sources {
            let Ok(manifest) = source.get(&host, &*origin).await else {
                continue;
            };
            let Some(strong) = burst.upgrade() else {
                return;
            };
            let checked = source.check(&host, &*origin, version, &manifest);
            if checked.is_ok() && strong.correct(&host, &manifest) {
                break;
            }
        }
        let jitter = rand::rng().random_range(0.7..1.3);
        sleep(backoff.next_delay().mul_f64(jitter)).await;
    }
}

/// Source of a manifest.
enum ManifestSource {
    Origin(String),
    Peer(String),
}

/// The manifest was refused.
struct Refused;

impl ManifestSource {
    /// Checks a manifest from this source. A refusal is counted and logged.
    fn check(
        &self,
        host: &Host,
        origin: &dyn Origin,
        version: Digest,
        manifest: &Manifest,
    ) -> Result<(), Refused> {
        let checked = origin.check(version, manifest);
        let checked = checked.and_then(|()| host.store.borrow().check_layout(manifest));
        match checked {
            Ok(()) => {
                host.instruments.manifest_accepted();
                Ok(())
            }
            Err(error) => {
                let instruments = &host.instruments;
                instruments.manifest_refused(self.is_origin(), self.url(), &error);
                Err(Refused)
            }
        }
    }

    fn is_origin(&self) -> bool {
        matches!(self, Self::Origin(_))
    }

    fn url(&self) -> &str {
        match self {
            Self::Origin(url) | Self::Peer(url) => url,
        }
    }

    async fn get(&self, host: &Host, origin: &dyn Origin) -> Result<Manifest, String> {
        let timeout = match self {
            Self::Origin(_) => MANIFEST_TIMEOUT,
            Self::Peer(_) => PEER_MANIFEST_TIMEOUT,
        };
        let request = build_request(host, self.url(), self.is_origin());
        let body = http::receive(request, MANIFEST_BYTES_MAX, timeout);
        let body = body.await.map_err(|error| error.to_string())?;
        let manifest = match self {
            Self::Origin(_) => origin.decode(&body),
            Self::Peer(_) => decode_manifest(&body),
        };
        manifest.map_err(|error| error.to_string())
    }
}

impl Burst {
    /// The sources to ask in this round. From the round `origin_rounds` on, each box asks the origin.
    fn manifest_sources(&self, host: &Host, round: u32, origin_rounds: u32) -> Vec<ManifestSource> {
        let members = self.ring_members();
        let relays = self.relays();
        let fetchers = ring::origin_fetchers(&members, &relays);
        let sponsors = ring::sponsors(self.version, &fetchers, host.spread.sponsors);
        let mut sources = Vec::new();
        let asks_origin = sponsors.contains(&host.name) || round >= origin_rounds;
        if asks_origin && !self.options.peers_only {
            let url = self.origin.manifest_url(self.version);
            sources.push(ManifestSource::Origin(url));
        }
        let local_relay =
            |member: &&Member| member.hall == host.hall && relays.contains(&member.name);
        let mut others: Vec<&Member> = members
            .iter()
            .filter(|member| member.name != host.name)
            .collect();
        // Relays are the first to have the manifest, so those of the own hall are preferred. Other
        // peers are asked in between.
        let local_relays: Vec<&Member> = others.iter().copied().filter(local_relay).collect();
        if !local_relays.is_empty() && !round.is_multiple_of(ANY_PEER_INTERVAL) {
            others = local_relays;
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

/// Builds a request for weights.
///
/// Connections to the origin are closed after each request. The origin accepts only a few
/// connections from all clients together, and an idle one whose machine loses power stays occupied
/// until the origin notices. Two such losses within 5 s locked out all clients permanently. A new
/// connection costs about 10 ms between regions, where a chunk takes 27 ms on the origin's link.
fn build_request(host: &Host, url: &str, origin: bool) -> awc::ClientRequest {
    let request = host.connections.get(url);
    if origin {
        request.force_close()
    } else {
        request
    }
}

/// A request for a chunk.
pub(super) struct ChunkRequest {
    /// Key under which the result is reported.
    pub key: FetchKey,
    /// Index of the chunk in the manifest.
    pub chunk: u32,
    /// Source to fetch from.
    pub source: Source,
    /// URL of the chunk at this source.
    pub url: String,
}

/// Fetches a chunk and reports the result.
pub(super) async fn fetch(host: Rc<Host>, burst: Weak<Burst>, request: ChunkRequest) {
    let outcome = request.run(&host, &burst).await;
    if let Some(strong) = burst.upgrade() {
        strong.fetches.borrow_mut().remove(&request.key);
        strong.finish_fetch(&host, request.key, request.chunk, outcome);
        strong.run_plan(&host);
    }
}

impl ChunkRequest {
    async fn run(&self, host: &Rc<Host>, burst: &Weak<Burst>) -> Outcome {
        let Some(version) = burst.upgrade().map(|burst| burst.version) else {
            return Outcome::Failed;
        };
        let request = build_request(host, &self.url, self.source == Source::Origin);
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                self.record_failure(host, &error.to_string());
                return Outcome::Failed;
            }
        };
        match response.status() {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => return Outcome::Busy,
            status => {
                self.record_failure(host, &format!("answered {status}"));
                return Outcome::Failed;
            }
        }
        let Ok(mut partial) = host.store.borrow().receive(version, self.chunk) else {
            return Outcome::Failed;
        };
        while let Some(part) = response.next().await {
            let part = match part {
                Ok(part) => part,
                Err(error) => {
                    self.record_failure(host, &error.to_string());
                    return Outcome::Failed;
                }
            };
            if partial.push(&part).is_err() {
                return Outcome::Corrupt;
            }
            if let Some(strong) = burst.upgrade()
                && let Some(swarm) = strong.swarm.borrow_mut().as_mut()
            {
                swarm.record_progress(self.key, host.clock.now());
            }
        }
        // It was cut off, or the manifest gives a wrong size.
        if !partial.is_complete() {
            return Outcome::Corrupt;
        }
        let Ok(chunk) = partial.finish() else {
            log::warn!(source = self.url.as_str(); "chunk does not match its manifest");
            return Outcome::Corrupt;
        };
        if self.source == Source::Origin {
            host.instruments.origin_bytes_received(chunk.len() as u64);
            log::info!(chunk = self.chunk, version:? = version; "chunk fetched from origin");
        }
        match host.store.borrow_mut().put(chunk) {
            Ok(true) => Outcome::Stored,
            _ => Outcome::Failed,
        }
    }

    fn record_failure(&self, host: &Host, reason: &str) {
        if self.source == Source::Origin {
            host.instruments.origin_failed(reason);
        }
    }
}
