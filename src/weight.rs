//! Model weights: digests, manifests, and the in-memory store of verified chunks.
//!
//! A version is identified by the digest of its manifest, and the manifest lists the digest of
//! every chunk. A chunk enters the [`Store`] only after its bytes were hashed and compared, so
//! every chunk that the store returns belongs to exactly one version.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// Bytes in a digest.
const DIGEST_BYTES: usize = 32;

/// Hexadecimal digits that [`Digest::short`] returns.
const SHORT_DIGEST_DIGITS: usize = 12;

/// Key derivation context that keeps manifest digests distinct from other uses of BLAKE3.
const MANIFEST_CONTEXT: &str = "pumicelatch 2026-12 weight manifest v1";

/// Maximum number of chunks in a manifest.
pub const CHUNKS_MAX: usize = 65_536;

/// Hash function for the chunk digests of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hash {
    /// BLAKE3, used by the product's own origin.
    #[default]
    Blake3,
    /// SHA-256.
    Sha256,
}

impl Hash {
    /// Returns the digest of `bytes`.
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

/// Incremental computation of a digest.
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

/// A 32-byte digest. Displayed and serialized as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Returns the BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the raw bytes.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    /// Returns the first 12 digits, for tables and logs.
    pub fn short(&self) -> String {
        self.to_string()[..SHORT_DIGEST_DIGITS].to_owned()
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

/// An error in a digest, a manifest or the store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not a valid digest.
    #[error("`{text}` is not a digest: expected 64 hexadecimal digits")]
    DigestText {
        /// The text, truncated to 80 characters.
        text: String,
    },
    /// A manifest cannot be decoded.
    #[error("failed to decode manifest: {reason}")]
    ManifestText {
        /// Error of the decoder.
        reason: String,
    },
    /// A manifest does not match the digest under which it was requested.
    #[error("manifest digest mismatch: got {found}, expected {expected}")]
    ManifestDigest {
        /// Digest that identifies the version.
        expected: Digest,
        /// Digest of the received manifest.
        found: Digest,
    },
    /// The fields of a manifest contradict each other, or it lists more than [`CHUNKS_MAX`]
    /// chunks.
    #[error(
        "inconsistent manifest: {chunks} chunks for {model_bytes} bytes in chunks of {chunk_bytes}"
    )]
    ManifestShape {
        /// Length of the chunk list.
        chunks: usize,
        /// Size of the model in bytes.
        model_bytes: u64,
        /// Size in bytes of every chunk but the last.
        chunk_bytes: u32,
    },
    /// A manifest contradicts the configuration.
    #[error("manifest contradicts the configuration: {found}, expected {expected}")]
    Layout {
        /// The chunks that the manifest lists.
        found: Layout,
        /// The chunks that the configuration gives.
        expected: Layout,
    },
    /// A chunk has more bytes than the manifest allows, or another digest.
    #[error("chunk {index} of version {version:?} does not match its manifest")]
    ChunkDigest {
        /// Version to which the chunk should belong.
        version: Digest,
        /// Index of the chunk in the manifest.
        index: u32,
    },
    /// The manifest has no chunk with this index.
    #[error("version {version:?} has no chunk {index}")]
    ChunkIndex {
        /// Version to which the chunk should belong.
        version: Digest,
        /// Requested index.
        index: u32,
    },
    /// The store has too little free capacity for the version.
    #[error("version {version:?} needs {needed} bytes, {free} of {capacity} are free")]
    Capacity {
        /// Version that was to be admitted.
        version: Digest,
        /// Size of the version in bytes.
        needed: u64,
        /// Unreserved bytes.
        free: u64,
        /// Capacity of the store in bytes.
        capacity: u64,
    },
    /// The version was never admitted, or was released.
    #[error("version {version:?} is not in the store")]
    Unknown {
        /// Requested version.
        version: Digest,
    },
}

/// Number and size of a version's chunks. A figure of 0 is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Layout {
    /// Number of chunks.
    pub chunks: u32,
    /// Size in bytes of every chunk but the last.
    pub chunk_bytes: u32,
}

impl fmt::Display for Layout {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} chunks of {} bytes",
            self.chunks, self.chunk_bytes
        )
    }
}

impl Layout {
    /// Whether `found` agrees with the figures that are known here.
    fn admits(self, found: Self) -> bool {
        let agrees = |expected: u32, found: u32| expected == 0 || expected == found;
        agrees(self.chunks, found.chunks) && agrees(self.chunk_bytes, found.chunk_bytes)
    }
}

/// The list of chunks of a version. Its digest identifies the version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Size of the model in bytes.
    pub model_bytes: u64,
    /// Size in bytes of every chunk but the last, which may be shorter.
    pub chunk_bytes: u32,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
}

impl Manifest {
    /// Splits `model` into chunks of `chunk_bytes` and lists their digests.
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

    /// Returns the digest that identifies this version.
    pub fn digest(&self) -> Digest {
        let mut hasher = blake3::Hasher::new_derive_key(MANIFEST_CONTEXT);
        hasher.update(&self.model_bytes.to_le_bytes());
        hasher.update(&self.chunk_bytes.to_le_bytes());
        for chunk in &self.chunks {
            hasher.update(chunk.as_bytes());
        }
        hasher.finalize().into()
    }

    /// Checks that this manifest has the digest `expected` and that its fields are consistent.
    pub fn verify(&self, expected: Digest) -> Result<(), Error> {
        let found = self.digest();
        if found != expected {
            return Err(Error::ManifestDigest { expected, found });
        }
        self.verify_shape()
    }

    /// Checks that the number of chunks matches the sizes and does not exceed [`CHUNKS_MAX`].
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

    /// Returns the number and size of the chunks that are listed.
    pub fn layout(&self) -> Layout {
        Layout {
            chunks: self.chunks.len() as u32,
            chunk_bytes: self.chunk_bytes,
        }
    }

    /// Returns the size of chunk `index` in bytes, or 0 if there is no such chunk.
    pub fn chunk_len(&self, index: u32) -> u64 {
        let start = u64::from(index) * u64::from(self.chunk_bytes);
        self.model_bytes
            .saturating_sub(start)
            .min(u64::from(self.chunk_bytes))
    }
}

/// A chunk that is being received. It is hashed incrementally, as its bytes arrive, so that no
/// long hash computation blocks the thread.
#[derive(Debug)]
pub struct PartialChunk {
    version: Digest,
    index: u32,
    expected: Digest,
    length: usize,
    bytes: BytesMut,
    hasher: Hasher,
}

impl PartialChunk {
    /// Appends the next bytes. Fails if the chunk gets longer than the manifest allows.
    pub fn push(&mut self, part: &[u8]) -> Result<(), Error> {
        if self.bytes.len() + part.len() > self.length {
            return Err(self.mismatch());
        }
        if self.bytes.is_empty() {
            self.bytes.reserve(self.length);
        }
        self.hasher.update(part);
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Whether as many bytes arrived as the manifest lists. Fewer mean that the transfer was cut
    /// off, not that the chunk is corrupt.
    pub fn is_complete(&self) -> bool {
        self.bytes.len() == self.length
    }

    /// Compares the digest with the manifest.
    pub fn finish(self) -> Result<Chunk, Error> {
        let mismatch = self.mismatch();
        if self.hasher.finish() != self.expected {
            return Err(mismatch);
        }
        Ok(Chunk {
            version: self.version,
            index: self.index,
            digest: self.expected,
            bytes: self.bytes.freeze(),
        })
    }

    fn mismatch(&self) -> Error {
        Error::ChunkDigest {
            version: self.version,
            index: self.index,
        }
    }
}

/// A verified chunk. Only [`PartialChunk::finish`] creates one, so the store cannot hold
/// unverified bytes.
#[derive(Debug)]
pub struct Chunk {
    version: Digest,
    index: u32,
    digest: Digest,
    bytes: Bytes,
}

impl Chunk {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the chunk has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// A version in the store.
#[derive(Debug)]
struct Version {
    manifest: Manifest,
    hash: Hash,
    chunks: Vec<Option<Bytes>>,
    held: usize,
}

/// Verified chunks of the versions on this box, within a memory limit.
#[derive(Debug)]
pub struct Store {
    capacity: u64,
    reserved: u64,
    /// What the configuration says of the chunks of all versions.
    expected: Layout,
    versions: BTreeMap<Digest, Version>,
}

impl Store {
    /// Creates an empty store of at most `capacity` bytes.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            reserved: 0,
            expected: Layout::default(),
            versions: BTreeMap::new(),
        }
    }

    /// Sets the layout that manifests must have from now on. Versions whose manifests contradict it are
    /// neither complete nor handed on; [`Store::contradicting`] lists them.
    pub fn expect(&mut self, layout: Layout) {
        self.expected = layout;
    }

    /// Whether the configuration gives the number of chunks.
    pub fn is_chunk_count_known(&self) -> bool {
        self.expected.chunks > 0
    }

    /// Checks that `manifest` agrees with the configuration.
    pub fn check_layout(&self, manifest: &Manifest) -> Result<(), Error> {
        let (found, expected) = (manifest.layout(), self.expected);
        if expected.admits(found) {
            Ok(())
        } else {
            Err(Error::Layout { found, expected })
        }
    }

    /// Returns the versions whose manifests contradict the configuration.
    pub fn contradicting(&self) -> Vec<Digest> {
        let contradicting = |entry: &Version| self.check_layout(&entry.manifest).is_err();
        self.versions
            .iter()
            .filter(|(_, entry)| contradicting(entry))
            .map(|(version, _)| *version)
            .collect()
    }

    /// Verifies the manifest and reserves capacity for a version. The full size is reserved at
    /// once, so that two versions received at the same time cannot block each other.
    pub fn admit(&mut self, version: Digest, manifest: Manifest) -> Result<(), Error> {
        manifest.verify(version)?;
        self.admit_checked(version, manifest, Hash::Blake3)
    }

    /// Reserves capacity for a version whose manifest the caller has checked. With an origin that
    /// numbers its versions, `version` is not the digest of the manifest.
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
        self.check_layout(&manifest)?;
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

    /// Compares the manifest of `version` with `other`, another copy of it. If the digest of any of the
    /// chunks `doubted` differs, the manifest is known to be spoilt, and the digests of all chunks that
    /// are not held are replaced by those in `other`. Returns the chunks whose digests or sizes have
    /// changed.
    pub fn correct(
        &mut self,
        version: Digest,
        other: &Manifest,
        doubted: &[u32],
    ) -> Result<Vec<u32>, Error> {
        self.check_layout(other)?;
        let entry = self
            .versions
            .get_mut(&version)
            .ok_or(Error::Unknown { version })?;
        if other.chunks.len() != entry.chunks.len() {
            return Ok(Vec::new());
        }
        if other.chunk_bytes != entry.manifest.chunk_bytes {
            // Chunks that match their digests show that the size is right.
            if entry.held > 0 {
                return Ok(Vec::new());
            }
            self.reserved = self.reserved + other.model_bytes - entry.manifest.model_bytes;
            entry.manifest = other.clone();
            return Ok(doubted.to_vec());
        }
        let differs = |chunk: &u32| {
            let index = *chunk as usize;
            let is_missing = entry.chunks.get(index).is_some_and(Option::is_none);
            is_missing && entry.manifest.chunks[index] != other.chunks[index]
        };
        if !doubted.iter().any(differs) {
            return Ok(Vec::new());
        }
        let changed: Vec<u32> = (0..entry.chunks.len() as u32).filter(differs).collect();
        for &chunk in &changed {
            entry.manifest.chunks[chunk as usize] = other.chunks[chunk as usize];
        }
        Ok(changed)
    }

    /// Starts to receive chunk `index`. Memory is allocated when the first bytes arrive.
    pub fn receive(&self, version: Digest, index: u32) -> Result<PartialChunk, Error> {
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
        Ok(PartialChunk {
            version,
            index,
            expected,
            length,
            bytes: BytesMut::new(),
            hasher: entry.hash.hasher(),
        })
    }

    /// Stores a verified chunk. Returns whether it was missing before.
    pub fn put(&mut self, chunk: Chunk) -> Result<bool, Error> {
        let Chunk {
            version,
            index,
            digest,
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
        // A copy of the manifest that came while the chunk was received may be spoilt here.
        entry.manifest.chunks[index as usize] = digest;
        entry.held += 1;
        Ok(true)
    }

    /// Returns the bytes of a chunk, if it is held.
    pub fn get(&self, version: Digest, index: u32) -> Option<Bytes> {
        self.versions
            .get(&version)?
            .chunks
            .get(index as usize)?
            .clone()
    }

    /// Returns the manifest of an admitted version, unless it contradicts the configuration.
    pub fn manifest(&self, version: Digest) -> Option<&Manifest> {
        let manifest = &self.versions.get(&version)?.manifest;
        self.check_layout(manifest).is_ok().then_some(manifest)
    }

    /// Returns the number of chunks held of `version`, and its number of chunks.
    pub fn progress(&self, version: Digest) -> (usize, usize) {
        self.versions
            .get(&version)
            .map_or((0, 0), |entry| (entry.held, entry.chunks.len()))
    }

    /// Whether every chunk of `version` is held, and their number is that of the configuration.
    pub fn complete(&self, version: Digest) -> bool {
        let entry = self.versions.get(&version);
        let is_full = |entry: &&Version| entry.held == entry.chunks.len();
        entry
            .filter(is_full)
            .is_some_and(|entry| self.check_layout(&entry.manifest).is_ok())
    }

    /// Drops a version and frees the capacity reserved for it.
    pub fn release(&mut self, version: Digest) {
        if let Some(entry) = self.versions.remove(&version) {
            self.reserved -= entry.manifest.model_bytes;
        }
    }

    /// Returns the admitted versions.
    pub fn versions(&self) -> impl Iterator<Item = Digest> + '_ {
        self.versions.keys().copied()
    }

    /// Returns the reserved bytes and the capacity.
    pub fn usage(&self) -> (u64, u64) {
        (self.reserved, self.capacity)
    }
}
