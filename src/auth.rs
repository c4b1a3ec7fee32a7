//! The inner hop: entries prove to agents that a request comes from the system itself.
//!
//! A proof is a keyed BLAKE3 hash over the request's routing headers and the time. It shows that
//! the sender has the key and when it wrote this. It does not hide or protect the body, and within
//! [`SKEW_MAX_MS`] a listener on the network could send the same headers again; docs/SECURITY.md
//! says what follows from that.

use std::str::FromStr;

/// How far the clocks of two processes may be apart, in milliseconds.
pub const SKEW_MAX_MS: u64 = 30_000;

/// Bytes of a key.
const KEY_BYTES: usize = 32;

/// One key.
#[derive(Clone, PartialEq, Eq)]
struct Key {
    name: String,
    bytes: [u8; KEY_BYTES],
}

/// The keys that are valid now. The first signs, all verify, so that keys can be rotated without a
/// stop: add the new one last everywhere, then move it first, then drop the old one.
#[derive(Clone, PartialEq, Eq)]
pub struct Keyring {
    keys: Vec<Key>,
}

impl std::fmt::Debug for Keyring {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let names: Vec<&str> = self.keys.iter().map(|key| key.name.as_str()).collect();
        write!(formatter, "Keyring({})", names.join(", "))
    }
}

/// Text that is no keyring.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyringError {
    /// An item is not `name:hex`.
    #[error("item {position} is not of the form name:hex")]
    Form {
        /// Its place, counted from 1.
        position: usize,
    },
    /// A key is not 32 bytes in hexadecimal digits.
    #[error("key `{name}` is not 64 hexadecimal digits")]
    Digits {
        /// Its name.
        name: String,
    },
}

impl FromStr for Keyring {
    type Err = KeyringError;

    fn from_str(text: &str) -> Result<Self, KeyringError> {
        let keys = text
            .split(',')
            .enumerate()
            .map(|(index, item)| {
                let position = index + 1;
                let (name, hex) = item
                    .split_once(':')
                    .filter(|(name, _)| !name.is_empty() && !name.contains('.'))
                    .ok_or(KeyringError::Form { position })?;
                let name = name.to_owned();
                match blake3::Hash::from_hex(hex) {
                    Ok(hash) => Ok(Key {
                        name,
                        bytes: *hash.as_bytes(),
                    }),
                    Err(_) => Err(KeyringError::Digits { name }),
                }
            })
            .collect::<Result<_, _>>()?;
        Ok(Self { keys })
    }
}

/// Why a proof is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// There is none, or it cannot be read.
    #[error("no proof of the inner hop")]
    Missing,
    /// It names a key that is not valid here.
    #[error("proof under an unknown key")]
    UnknownKey,
    /// It was written too long ago, or in the future.
    #[error("proof is out of time; compare the clocks")]
    OutOfTime,
    /// It does not match the request.
    #[error("proof does not match the request")]
    Mismatch,
}

fn mac(key: &Key, millis: u64, parts: &[&str]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.bytes);
    hasher.update(&millis.to_le_bytes());
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.finalize()
}

impl Keyring {
    /// A proof over `parts`, written at `millis`.
    pub fn sign(&self, millis: u64, parts: &[&str]) -> String {
        match self.keys.first() {
            Some(key) => format!("{}.{millis}.{}", key.name, mac(key, millis, parts).to_hex()),
            None => String::new(),
        }
    }

    /// Confirms a proof over `parts` at time `now_ms`.
    pub fn verify(&self, proof: Option<&str>, now_ms: u64, parts: &[&str]) -> Result<(), Error> {
        let mut fields = proof.ok_or(Error::Missing)?.split('.');
        let (Some(name), Some(millis), Some(hex), None) =
            (fields.next(), fields.next(), fields.next(), fields.next())
        else {
            return Err(Error::Missing);
        };
        let millis: u64 = millis.parse().map_err(|_| Error::Missing)?;
        let given = blake3::Hash::from_hex(hex).map_err(|_| Error::Missing)?;
        let key = self
            .keys
            .iter()
            .find(|key| key.name == name)
            .ok_or(Error::UnknownKey)?;
        if now_ms.abs_diff(millis) > SKEW_MAX_MS {
            return Err(Error::OutOfTime);
        }
        // blake3::Hash compares in constant time.
        if mac(key, millis, parts) == given {
            Ok(())
        } else {
            Err(Error::Mismatch)
        }
    }
}
