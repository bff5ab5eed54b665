//! Reserves loopback addresses for a fleet, so that fleets that run concurrently on one machine do not share any.

use common::frames::SocketAddress;
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The range of the second octet of a block within 127.0.0.0/8; 127.0.0.0/16 is left to other programs.
const FIRST_BLOCK: u8 = 1;
const LAST_BLOCK: u8 = 254;
/// The number of machines whose addresses have the same third octet.
const HOSTS_PER_OCTET: usize = 250;

// All ports are below the range of ephemeral ports, which the system assigns to outgoing connections.
const RESERVATION_PORT: u16 = 23_000;
const PLATFORM_PORT: u16 = 23_001;
const PROXY_PORT: u16 = 23_002;
const LISTEN_PORT: u16 = 23_003;
const CLIENT_PORT: u16 = 23_004;

/// A /16 block of loopback addresses. A listener on one of its ports reserves it until this value is dropped.
///
/// Looking for free ports would be racy, since another process can bind a port after it was found to be free. No other
/// fleet binds a port within a reserved block.
#[derive(Debug)]
pub(super) struct AddressBlock {
    second_octet: u8,
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Reserves a block that no other fleet has. The search starts at a block that depends on the process id.
    ///
    /// # Errors
    /// Fails if all blocks are in use.
    pub(super) fn reserve() -> Result<Self> {
        let block_count = u32::from(LAST_BLOCK - FIRST_BLOCK) + 1;
        let offset = std::process::id() % block_count;
        (0..block_count)
            .map(|number| FIRST_BLOCK + ((number + offset) % block_count) as u8)
            .find_map(Self::reserve_block)
            .ok_or_else(|| Error::new(ErrorKind::AddrInUse, "all address blocks are in use"))
    }

    fn reserve_block(second_octet: u8) -> Option<Self> {
        let ip = Ipv4Addr::new(127, second_octet, 0, 1);
        let reservation = TcpListener::bind((ip, RESERVATION_PORT)).ok()?;
        Some(Self {
            second_octet,
            _reservation: reservation,
        })
    }

    /// Returns the address of the platform.
    pub(super) fn platform(&self) -> SocketAddress {
        self.address([0, 1], PLATFORM_PORT)
    }

    /// Returns the address at which other processes reach a machine, which is the address of its network proxy.
    pub(super) fn proxy_of(&self, machine: usize) -> SocketAddress {
        self.address(Self::host(machine), PROXY_PORT)
    }

    /// Returns the address on which a machine listens behind its network proxy.
    pub(super) fn listen_of(&self, machine: usize) -> SocketAddress {
        self.address(Self::host(machine), LISTEN_PORT)
    }

    /// Returns the address on which a machine listens for operators or callers.
    pub(super) fn client_address_of(&self, machine: usize) -> SocketAddress {
        self.address(Self::host(machine), CLIENT_PORT)
    }

    /// Returns the third and fourth octet of a machine's addresses. The third octet is never zero, as the platform's
    /// is.
    fn host(machine: usize) -> [u8; 2] {
        [
            1 + (machine / HOSTS_PER_OCTET) as u8,
            1 + (machine % HOSTS_PER_OCTET) as u8,
        ]
    }

    fn address(&self, [third, fourth]: [u8; 2], port: u16) -> SocketAddress {
        let ip = Ipv4Addr::new(127, self.second_octet, third, fourth);
        SocketAddress(SocketAddrV4::new(ip, port))
    }
}
