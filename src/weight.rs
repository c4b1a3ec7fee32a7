//! Weights: digests, manifests, and the store that holds only verified chunks.
//!
//! A version is named by the digest of its manifest, and the manifest lists the digest of every
//! chunk. A chunk enters the [`Store`] only after its bytes were hashed and compared, so whatever
//! the store hands out belongs to exactly one version.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Bytes in a digest.
const DIGEST_BYTES: usize = 32;

/// Digits of a digest that [`Digest::short`] shows.
const SHORT_DIGITS: usize = 12;

/// Separates manifest digests from digests of anything else that BLAKE3 may be used for.
const MANIFEST_CONTEXT: &str = "pumicelatch 2026-12 weight manifest v1";

/// Chunks that one manifest may list.
pub const CHUNKS_MAX: usize = 65_536;

/// How the digests of a version's chunks are computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hash {
    /// BLAKE3, as the product's own origin lists them.
    #[default]
    Blake3,
    /// SHA-256.
    Sha256,
}

impl Hash {
    /// The digest of `bytes`.
    pub fn of(self, bytes: &[u8]) -> Digest {
        let mut hasher = self.hasher();
        hasher.update(bytes);
        hasher.finish()
    }

    fn hasher(self) -> Hasher {
        match self {
            Self::Blake3 => Hasher::Blake3(Box::default()),
            Self::Sha256 => Hasher::Sha256(sha2::Sha256::new()),
        }
    }
}

/// A digest in the making.
#[derive(Debug)]
enum Hasher {
    Blake3(Box<blake3::Hasher>),
    Sha256(sha2::Sha256),
}

impl Hasher {
    fn update(&mut self, part: &[u8]) {
        match self {
            Self::Blake3(hasher) => {
                hasher.update(part);
            }
            Self::Sha256(hasher) => hasher.update(part),
        }
    }

    fn finish(self) -> Digest {
        match self {
            Self::Blake3(hasher) => hasher.finalize().into(),
            Self::Sha256(hasher) => Digest(hasher.finalize().into()),
        }
    }
}

/// A digest of 32 bytes. Shown and serialized as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// The first twelve digits, for tables and logs.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGITS].to_owned()
    }
}

impl From<blake3::Hash> for Digest {
    fn from(hash: blake3::Hash) -> Self {
        Self(*hash.as_bytes())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.short())
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        blake3::Hash::from_hex(text)
            .map(Self::from)
            .map_err(|_| Error::DigestText {
                text: text.chars().take(80).collect(),
            })
    }
}

impl Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// What can go wrong with weights.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Text that should be a digest is not.
    #[error("`{text}` is not a digest: expected 64 hexadecimal digits")]
    DigestText {
        /// The text, cut to 80 characters.
        text: String,
    },
    /// A manifest cannot be read.
    #[error("manifest cannot be read: {reason}")]
    ManifestText {
        /// What the codec reported.
        reason: String,
    },
    /// A manifest does not hash to the digest it was asked for by.
    #[error("manifest hashes to {found}, expected {expected}")]
    ManifestDigest {
        /// The digest that names the version.
        expected: Digest,
        /// What the received manifest hashes to.
        found: Digest,
    },
    /// A manifest whose fields contradict each other.
    #[error(
        "manifest of {chunks} chunks does not fit {model_bytes} bytes in chunks of {chunk_bytes}"
    )]
    ManifestShape {
        /// Length of the chunk list.
        chunks: usize,
        /// Bytes of the whole model.
        model_bytes: u64,
        /// Bytes of every chunk but the last.
        chunk_bytes: u32,
    },
    /// A chunk's bytes do not hash to what the manifest lists.
    #[error("chunk {index} of {version:?} failed verification")]
    ChunkDigest {
        /// The version the chunk was fetched for.
        version: Digest,
        /// The chunk's place in the manifest.
        index: u32,
    },
    /// A chunk's place lies outside the manifest.
    #[error("version {version:?} has no chunk {index}")]
    ChunkIndex {
        /// The version the chunk was fetched for.
        version: Digest,
        /// The place that was named.
        index: u32,
    },
    /// The store has no room for the version.
    #[error("version {version:?} needs {needed} bytes, {free} of {capacity} are free")]
    Capacity {
        /// The version that was to be admitted.
        version: Digest,
        /// Bytes that it takes.
        needed: u64,
        /// Bytes that are free.
        free: u64,
        /// The bound on the store.
        capacity: u64,
    },
    /// The version was never admitted, or was released.
    #[error("version {version:?} is not in the store")]
    Unknown {
        /// The version that was named.
        version: Digest,
    },
}

/// The list of a version's chunks. Its digest names the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Bytes of the whole model.
    pub model_bytes: u64,
    /// Bytes of every chunk but the last, which may be shorter.
    pub chunk_bytes: u32,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
}

impl Manifest {
    /// Cuts `model` into chunks of `chunk_bytes` and lists their digests.
    pub fn of(model: &[u8], chunk_bytes: u32) -> Self {
        Self {
            model_bytes: model.len() as u64,
            chunk_bytes,
            chunks: model
                .chunks(chunk_bytes.max(1) as usize)
                .map(Digest::of)
                .collect(),
        }
    }

    /// The digest that names this version.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_derive_key(MANIFEST_CONTEXT);
        hasher.update(&self.model_bytes.to_le_bytes());
        hasher.update(&self.chunk_bytes.to_le_bytes());
        for chunk in &self.chunks {
            hasher.update(chunk.as_bytes());
        }
        hasher.finalize().into()
    }

    /// Confirms that this manifest is the one named `expected` and that its fields agree.
    pub fn verify(&self, expected: Digest) -> Result<(), Error> {
        let found = self.digest();
        if found != expected {
            return Err(Error::ManifestDigest { expected, found });
        }
        self.verify_shape()
    }

    /// Confirms that the fields agree.
    pub fn verify_shape(&self) -> Result<(), Error> {
        let chunk_bytes = u64::from(self.chunk_bytes.max(1));
        if self.chunks.len() > CHUNKS_MAX
            || self.chunks.len() as u64 != self.model_bytes.div_ceil(chunk_bytes)
        {
            return Err(Error::ManifestShape {
                chunks: self.chunks.len(),
                model_bytes: self.model_bytes,
                chunk_bytes: self.chunk_bytes,
            });
        }
        Ok(())
    }

    /// Bytes of chunk `index`; zero when there is none.
    pub fn chunk_len(&self, index: u32) -> u64 {
        let start = u64::from(index) * u64::from(self.chunk_bytes);
        self.model_bytes
            .saturating_sub(start)
            .min(u64::from(self.chunk_bytes))
    }
}

/// A chunk on its way in: hashed as its bytes come, so that no long hash holds the thread up.
#[derive(Debug)]
pub struct Receipt {
    version: Digest,
    index: u32,
    expected: Digest,
    length: usize,
    bytes: BytesMut,
    hasher: Hasher,
}

impl Receipt {
    /// Takes the next bytes. More than the manifest allows is a failed verification.
    pub fn push(&mut self, part: &[u8]) -> Result<(), Error> {
        if self.bytes.len() + part.len() > self.length {
            return Err(self.failure());
        }
        if self.bytes.is_empty() {
            self.bytes.reserve(self.length);
        }
        self.hasher.update(part);
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Whether as many bytes came as the manifest says. Fewer are a broken exchange, not a bad
    /// chunk.
    pub fn full(&self) -> bool {
        self.bytes.len() == self.length
    }

    /// Compares what came with the manifest.
    pub fn finish(self) -> Result<Chunk, Error> {
        let failure = self.failure();
        if self.hasher.finish() != self.expected {
            return Err(failure);
        }
        Ok(Chunk {
            version: self.version,
            index: self.index,
            bytes: self.bytes.freeze(),
        })
    }

    fn failure(&self) -> Error {
        Error::ChunkDigest {
            version: self.version,
            index: self.index,
        }
    }
}

/// A verified chunk. Only [`Receipt::finish`] makes one, so the store cannot hold any other.
#[derive(Debug)]
pub struct Chunk {
    version: Digest,
    index: u32,
    bytes: Bytes,
}

impl Chunk {
    /// Its length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// One version in the store.
#[derive(Debug)]
struct Version {
    manifest: Manifest,
    hash: Hash,
    chunks: Vec<Option<Bytes>>,
    held: usize,
}

/// Verified chunks of the versions that this box carries, within a bound on memory.
#[derive(Debug)]
pub struct Store {
    capacity: u64,
    reserved: u64,
    versions: BTreeMap<Digest, Version>,
}

impl Store {
    /// An empty store of at most `capacity` bytes.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            reserved: 0,
            versions: BTreeMap::new(),
        }
    }

    /// Makes room for a version. Its whole size is reserved at once, so that two versions that
    /// arrive together can never both get stuck half-way.
    pub fn admit(&mut self, version: Digest, manifest: Manifest) -> Result<(), Error> {
        manifest.verify(version)?;
        self.admit_checked(version, manifest, Hash::Blake3)
    }

    /// Makes room for a version whose manifest was checked against its name already: where the
    /// origin counts versions, the name is no digest of the manifest.
    pub fn admit_checked(
        &mut self,
        version: Digest,
        manifest: Manifest,
        hash: Hash,
    ) -> Result<(), Error> {
        if self.versions.contains_key(&version) {
            return Ok(());
        }
        manifest.verify_shape()?;
        let free = self.capacity.saturating_sub(self.reserved);
        if manifest.model_bytes > free {
            return Err(Error::Capacity {
                version,
                needed: manifest.model_bytes,
                free,
                capacity: self.capacity,
            });
        }
        self.reserved += manifest.model_bytes;
        let chunks = vec![None; manifest.chunks.len()];
        self.versions.insert(
            version,
            Version {
                manifest,
                hash,
                chunks,
                held: 0,
            },
        );
        Ok(())
    }

    /// Begins to receive chunk `index`. The chunk's memory is taken when its bytes come.
    pub fn receive(&self, version: Digest, index: u32) -> Result<Receipt, Error> {
        let entry = self
            .versions
            .get(&version)
            .ok_or(Error::Unknown { version })?;
        let expected = *entry
            .manifest
            .chunks
            .get(index as usize)
            .ok_or(Error::ChunkIndex { version, index })?;
        let length = entry.manifest.chunk_len(index) as usize;
        Ok(Receipt {
            version,
            index,
            expected,
            length,
            bytes: BytesMut::new(),
            hasher: entry.hash.hasher(),
        })
    }

    /// Keeps a verified chunk. Returns whether it is new.
    pub fn put(&mut self, chunk: Chunk) -> Result<bool, Error> {
        let Chunk {
            version,
            index,
            bytes,
        } = chunk;
        let entry = self
            .versions
            .get_mut(&version)
            .ok_or(Error::Unknown { version })?;
        let slot = entry
            .chunks
            .get_mut(index as usize)
            .ok_or(Error::ChunkIndex { version, index })?;
        if slot.is_some() {
            return Ok(false);
        }
        *slot = Some(bytes);
        entry.held += 1;
        Ok(true)
    }

    /// The bytes of a held chunk.
    pub fn get(&self, version: Digest, index: u32) -> Option<Bytes> {
        self.versions
            .get(&version)?
            .chunks
            .get(index as usize)?
            .clone()
    }

    /// The manifest of an admitted version.
    pub fn manifest(&self, version: Digest) -> Option<&Manifest> {
        self.versions.get(&version).map(|entry| &entry.manifest)
    }

    /// Chunks held of `version`, and chunks that it has.
    pub fn progress(&self, version: Digest) -> (usize, usize) {
        self.versions
            .get(&version)
            .map_or((0, 0), |entry| (entry.held, entry.chunks.len()))
    }

    /// Whether every chunk of `version` is held.
    pub fn complete(&self, version: Digest) -> bool {
        self.versions
            .get(&version)
            .is_some_and(|entry| entry.held == entry.chunks.len())
    }

    /// Lets a version go and frees what it reserved.
    pub fn release(&mut self, version: Digest) {
        if let Some(entry) = self.versions.remove(&version) {
            self.reserved -= entry.manifest.model_bytes;
        }
    }

    /// The versions that are admitted.
    pub fn versions(&self) -> impl Iterator<Item = Digest> + '_ {
        self.versions.keys().copied()
    }

    /// Bytes reserved, and the bound.
    pub fn usage(&self) -> (u64, u64) {
        (self.reserved, self.capacity)
    }
}
