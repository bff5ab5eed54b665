//! The loopback addresses of one fleet, which no other fleet on this machine uses meanwhile.

use common::frames::SocketAddress;
use std::io::{Error, ErrorKind, Result};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

/// The second octets of 127.0.0.0/8 that blocks are made of; 127.0.0.0/16 stays free for other programs.
const FIRST_BLOCK: u8 = 1;
const LAST_BLOCK: u8 = 254;
/// How many machines share one third octet.
const HOSTS_PER_OCTET: usize = 250;

// The ports lie below the range from which the system takes the ports of outgoing connections.
const RESERVATION_PORT: u16 = 23_000;
const PLATFORM_PORT: u16 = 23_001;
const PROXY_PORT: u16 = 23_002;
const LISTEN_PORT: u16 = 23_003;
const CLIENT_PORT: u16 = 23_004;

/// A /16 block of loopback addresses, reserved until this is dropped by a listener that holds one of its ports.
///
/// Ports that are free when they are looked for can be taken before a process binds them; within a reserved block
/// nothing else binds any.
#[derive(Debug)]
pub(super) struct AddressBlock {
    second_octet: u8,
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Reserves a block that no other fleet has; the first that is tried depends on the process.
    ///
    /// # Errors
    /// Fails if every block is taken.
    pub(super) fn reserve() -> Result<Self> {
        let block_count = u32::from(LAST_BLOCK - FIRST_BLOCK) + 1;
        let offset = std::process::id() % block_count;
        (0..block_count)
            .map(|number| FIRST_BLOCK + ((number + offset) % block_count) as u8)
            .find_map(Self::reserve_block)
            .ok_or_else(|| Error::new(ErrorKind::AddrInUse, "every block of addresses is taken"))
    }

    fn reserve_block(second_octet: u8) -> Option<Self> {
        let ip = Ipv4Addr::new(127, second_octet, 0, 1);
        let reservation = TcpListener::bind((ip, RESERVATION_PORT)).ok()?;
        Some(Self {
            second_octet,
            _reservation: reservation,
        })
    }

    /// The address of the platform.
    pub(super) fn platform(&self) -> SocketAddress {
        self.address([0, 1], PLATFORM_PORT)
    }

    /// The address that other processes use for a machine, which is its network proxy's.
    pub(super) fn proxy_of(&self, machine: usize) -> SocketAddress {
        self.address(Self::host(machine), PROXY_PORT)
    }

    /// The address on which a machine listens behind its network proxy.
    pub(super) fn listen_of(&self, machine: usize) -> SocketAddress {
        self.address(Self::host(machine), LISTEN_PORT)
    }

    /// The address on which a machine listens for operators or callers.
    pub(super) fn client_address_of(&self, machine: usize) -> SocketAddress {
        self.address(Self::host(machine), CLIENT_PORT)
    }

    /// The third and fourth octet of a machine; the third is never the platform's.
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
