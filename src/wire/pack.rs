//! Compression of documents, whose routes differ in few characters.

use std::io::{Cursor, Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of an unpacked document: 16 times the platform service's limit.
const UNPACKED_MAX: u64 = 16 << 20;

/// Why a document could not be packed or unpacked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The codec rejected the document.
    #[error("MessagePack codec: {reason}")]
    Codec {
        /// The error of the codec.
        reason: String,
    },
    /// Bytes follow the document's end, so it isn't the document that was packed.
    #[error("bytes follow the end of the document")]
    Trailing,
    /// The bytes are no packed document, or it is too long.
    #[error("cannot unpack the document: {0}")]
    Unpack(#[from] std::io::Error),
}

/// Caches the packed form of the latest requested revision of a document.
#[derive(Debug, Default)]
pub struct Cache(Option<(u64, Vec<u8>)>);

impl Cache {
    /// Returns the packed form of the document at `revision`. `document` is called only if the
    /// cache is empty or holds another revision.
    pub fn get_or_pack<T: Serialize>(
        &mut self,
        revision: u64,
        document: impl FnOnce() -> T,
    ) -> Result<Vec<u8>, Error> {
        match &self.0 {
            Some((cached, packed)) if *cached == revision => Ok(packed.clone()),
            _ => {
                let packed = pack(&document())?;
                self.0 = Some((revision, packed.clone()));
                Ok(packed)
            }
        }
    }
}

/// Packs a document.
pub fn pack<T: Serialize>(document: &T) -> Result<Vec<u8>, Error> {
    let plain = rmp_serde::to_vec_named(document).map_err(|error| Error::Codec {
        reason: error.to_string(),
    })?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain)?;
    Ok(encoder.finish()?)
}

/// Unpacks a document.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, Error> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(UNPACKED_MAX);
    decoder.read_to_end(&mut plain)?;
    let read = decoder.into_inner().total_in();
    let mut codec = rmp_serde::Deserializer::new(Cursor::new(&plain));
    let document = T::deserialize(&mut codec).map_err(|error| Error::Codec {
        reason: error.to_string(),
    })?;
    let decoded = codec.position();
    if read != packed.len() as u64 || decoded != plain.len() as u64 {
        return Err(Error::Trailing);
    }
    Ok(document)
}
