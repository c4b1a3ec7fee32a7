//! Experiments against the real entry and agent code on loopback, with the platform's stand-ins.

pub mod baseline;
pub mod caller;
pub mod command;
pub mod fault;
pub mod relay;
pub mod route;
pub mod sample;
pub mod spread;
