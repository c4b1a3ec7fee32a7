//! Authentication of requests from entries to agents.
//!
//! A signature is a message authentication code: a keyed BLAKE3 hash over the request's routing
//! headers and the time. It shows that the sender holds the key, and when it signed. The body is
//! neither encrypted nor authenticated, and an eavesdropper could replay the headers within
//! [`SKEW_MAX_MS`]; docs/SECURITY.md describes the consequences.

use std::str::FromStr;

/// Maximum difference between the signing time and the verifier's clock, in milliseconds.
pub const SKEW_MAX_MS: u64 = 30_000;

/// Length of a key in bytes.
const KEY_BYTES: usize = 32;

/// A named secret key.
#[derive(Clone, PartialEq, Eq)]
struct Key {
    name: String,
    bytes: [u8; KEY_BYTES],
}

/// The valid keys. The first one signs and all verify, so that keys can be rotated without
/// downtime: append the new key everywhere, then move it to the front, then remove the old one.
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

/// Why a text is not a valid keyring.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyringError {
    /// An item is not `name:hex`.
    #[error("item {position} is not of the form name:hex")]
    Form {
        /// Position of the item, counted from 1.
        position: usize,
    },
    /// A key is not 32 bytes in hexadecimal digits.
    #[error("key `{name}` is not 64 hexadecimal digits")]
    Digits {
        /// Name of the key.
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

/// Why a signature is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is missing or malformed.
    #[error("signature is missing or malformed")]
    Missing,
    /// It names a key that is not in the keyring.
    #[error("signed with an unknown key")]
    UnknownKey,
    /// Its time is too far in the past or in the future.
    #[error("signing time is more than {SKEW_MAX_MS} ms off; check that the clocks are in sync")]
    OutOfTime,
    /// It does not match the request.
    #[error("signature does not match the request")]
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
    /// Signs `parts` at the Unix time `millis`, in milliseconds. Returns an empty text if there is
    /// no key.
    pub fn sign(&self, millis: u64, parts: &[&str]) -> String {
        match self.keys.first() {
            Some(key) => format!("{}.{millis}.{}", key.name, mac(key, millis, parts).to_hex()),
            None => String::new(),
        }
    }

    /// Verifies a signature over `parts` at the Unix time `now_ms`, in milliseconds.
    pub fn verify(
        &self,
        signature: Option<&str>,
        now_ms: u64,
        parts: &[&str],
    ) -> Result<(), Error> {
        let mut fields = signature.ok_or(Error::Missing)?.split('.');
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
