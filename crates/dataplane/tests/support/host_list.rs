//! A list of daemons in one zone.

use crate::host::host;
use common::frames::Host;

/// This many daemons, each in an incarnation of another number.
pub fn host_list(count: u64) -> Vec<Host> {
    (0..count)
        .map(|number| host(&format!("th-{number}"), "here", number + 1))
        .collect()
}
