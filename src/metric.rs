//! Metrics by OpenTelemetry, readable over HTTP in the Prometheus text format.

use actix_http::StatusCode;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::http::{self, Answer};

/// A process's metrics. Each process (or test instance) has its own registry.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

/// Why metrics cannot be had.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter could not be built.
    #[error("cannot start metrics: {reason}")]
    Exporter {
        /// What the library reported.
        reason: String,
    },
    /// The registry could not be written out.
    #[error("cannot write metrics: {reason}")]
    Encode {
        /// What the library reported.
        reason: String,
    },
}

impl Metrics {
    /// Starts an empty registry.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| Error::Exporter {
                reason: error.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Makes instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("pumicelatch")
    }

    /// All metrics, as an answer to whoever reads them.
    pub fn answer(&self) -> Answer {
        match self.text() {
            Ok(text) => http::body(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                log::error!("{error}");
                http::status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// All metrics as text.
    pub fn text(&self) -> Result<Vec<u8>, Error> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|error| Error::Encode {
                reason: error.to_string(),
            })?;
        Ok(text)
    }
}
