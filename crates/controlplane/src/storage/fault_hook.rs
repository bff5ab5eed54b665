//! The hook through which tests inject disk faults.

use std::io;

/// A hook that is called before each file write in the data directory. Test tools use it to simulate a
/// full, failing or slow disk; deployed programs use [`NoFaults`].
pub trait DiskFaultHook: Send + Sync {
    /// Called before a file is written. If it returns an error, the write fails with that error.
    fn before_write(&self) -> io::Result<()>;
}

/// A hook that injects no faults.
pub struct NoFaults;

impl DiskFaultHook for NoFaults {
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }
}
