//! Test support: a list of daemons in one zone.

use crate::host::host;
use common::frames::Host;

/// Returns `count` daemons, each with a different incarnation number.
pub fn host_list(count: u64) -> Vec<Host> {
    (0..count)
        .map(|number| host(&format!("th-{number}"), "here", number + 1))
        .collect()
}
