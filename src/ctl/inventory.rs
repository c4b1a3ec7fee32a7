//! The list of boxes that the commands work on, from a file or from the platform.

use std::time::Duration;

use super::Error;
use crate::http::{self, ClientSetting};
use crate::member::{Descriptor, Listing};
use crate::option::{Spec, Values};

/// Maximum time until a response begins.
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response.
pub const RESPONSE_BYTES_MAX: usize = 64 << 20;

/// Options that select the source of the list of boxes.
pub const SPECS: [Spec; 2] = [
    Spec::optional(
        "boxes",
        "FILE",
        "a JSON file with the list of boxes, in the platform's format",
    ),
    Spec::optional(
        "list-url",
        "URL",
        "base URL of the platform's list of boxes",
    ),
];

/// Reads the list of boxes from the source that the options select; a file takes precedence.
pub async fn boxes(values: &Values) -> Result<Vec<Descriptor>, Error> {
    let path: Option<String> = values.optional("boxes", "a file's name")?;
    if let Some(path) = path {
        return read(&path);
    }
    let url: Option<String> = values.optional("list-url", "a URL")?;
    let Some(url) = url else {
        return Err(Error::MissingArgument {
            what: "--boxes FILE or --list-url URL",
        });
    };
    let url = format!("{url}/v1/boxes");
    let client = http::client(ClientSetting::default());
    let listing: Result<Listing, http::Error> =
        http::get_json(&client, &url, RESPONSE_BYTES_MAX, TIMEOUT).await;
    match listing {
        Ok(listing) => Ok(listing.boxes),
        Err(source) => Err(Error::Request { url, source }),
    }
}

fn read(path: &str) -> Result<Vec<Descriptor>, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let listing: Listing = serde_json::from_str(&text).map_err(|error| Error::Malformed {
        path: path.to_owned(),
        reason: error.to_string(),
    })?;
    Ok(listing.boxes)
}
