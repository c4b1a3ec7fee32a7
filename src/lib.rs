//! pumicelatch distributes model weights to many boxes in bursts, decides when a version may take
//! requests, and routes every request.
//!
//! Decisions are pure modules over tables, with time and randomness passed in ([`config`],
//! [`placement`], [`spread`], [`version`], [`weight`], ...). The edges of the
//! processes feed events in and carry actions out over HTTP.

pub mod agent;
pub mod audit;
pub mod auth;
pub mod backoff;
pub mod bench;
pub mod burst;
pub mod clock;
pub mod config;
pub mod ctl;
pub mod daemon;
pub mod entry;
pub mod exchange;
pub mod gateway;
pub mod grant;
pub mod hash;
pub mod http;
pub mod knowledge;
pub mod lease;
pub mod limit;
pub mod log;
pub mod member;
pub mod metric;
pub mod node;
pub mod option;
pub mod placement;
pub mod policy;
pub mod request;
pub mod route;
pub mod run;
pub mod sidecar;
pub mod silence;
pub mod source;
pub mod spread;
pub mod standin;
pub mod stop;
pub mod template;
pub mod timeout;
pub mod version;
pub mod weight;
pub mod wire;
