//! Small stand-ins for what the platform gives, for tests, benches and the demo.
//!
//! Each speaks the protocol that docs/PLATFORM.md states, over loopback. Each box has an address
//! of its own in 127/8, so that a [`link`] knows both ends of a connection.

pub mod batch;
pub mod engine;
pub mod fleet;
pub mod link;
pub mod origin;
pub mod platform;
pub mod service;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Boxes that one of a hall's address blocks holds.
const BLOCK: usize = 250;

/// Where the stand-ins of the platform itself listen.
pub const PLATFORM_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// The loopback address of box `index` in hall `hall`.
pub fn box_address(hall: usize, index: usize) -> IpAddr {
    let hall = 10 + hall as u8;
    let block = (index / BLOCK) as u8;
    let last = 1 + (index % BLOCK) as u8;
    IpAddr::V4(Ipv4Addr::new(127, hall, block, last))
}

/// The socket address on `address` whose port the kernel chooses.
pub fn any_port(address: IpAddr) -> SocketAddr {
    SocketAddr::new(address, 0)
}
