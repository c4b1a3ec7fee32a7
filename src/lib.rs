//! pumicelatch distributes model weights to many boxes in bursts, decides when a version may take
//! requests, and routes every request.
//!
//! Decisions are pure modules over tables, with time and randomness passed in ([`config`],
//! [`placement`], [`spread`], [`version`], [`weight`], ...). The edges of the
//! processes feed events in and carry actions out over HTTP.

pub mod audit;
pub mod clock;
pub mod config;
pub mod http;
pub mod log;
pub mod member;
pub mod metric;
pub mod option;
pub mod placement;
pub mod spread;
pub mod template;
pub mod version;
pub mod weight;
pub mod wire;
