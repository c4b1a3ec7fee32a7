//! Where the operator's commands learn of boxes: a file, or the platform's list.

use std::time::Duration;

use super::Error;
use crate::http::{self, ClientSetting};
use crate::member::{Descriptor, Listing};
use crate::option::{Spec, Values};

/// How long a process may take to begin its answer.
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest answer.
pub const ANSWER_MAX: usize = 64 << 20;

/// The options that say where boxes are learned from.
pub const SPECS: [Spec; 2] = [
    Spec::optional(
        "boxes",
        "FILE",
        "a JSON file with the list of boxes, as the platform gives it",
    ),
    Spec::optional("list-url", "URL", "the platform's list of boxes"),
];

/// The boxes.
pub async fn boxes(values: &Values) -> Result<Vec<Descriptor>, Error> {
    let path: Option<String> = values.optional("boxes", "a file's name")?;
    if let Some(path) = path {
        return read(&path);
    }
    let url: Option<String> = values.optional("list-url", "a URL")?;
    let Some(url) = url else {
        return Err(Error::Argument {
            what: "--boxes FILE or --list-url URL",
        });
    };
    let url = format!("{url}/v1/boxes");
    let client = http::client(ClientSetting::default());
    let listing: Result<Listing, http::Error> =
        http::get_json(&client, &url, ANSWER_MAX, TIMEOUT).await;
    match listing {
        Ok(listing) => Ok(listing.boxes),
        Err(source) => Err(Error::Process { url, source }),
    }
}

fn read(path: &str) -> Result<Vec<Descriptor>, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let listing: Listing = serde_json::from_str(&text).map_err(|error| Error::Form {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(listing.boxes)
}
