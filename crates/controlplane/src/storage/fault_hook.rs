//! Where tests inject disk faults.

use std::io;

/// Called before each write of the data directory. The testing tools use it to make a disk full, failing
/// or slow; the programs as deployed use [`NoFaults`].
pub trait DiskFaultHook: Send + Sync {
    /// Runs before a file is written; the write fails with the error it returns.
    fn before_write(&self) -> io::Result<()>;
}

/// The hook that injects nothing.
pub struct NoFaults;

impl DiskFaultHook for NoFaults {
    fn before_write(&self) -> io::Result<()> {
        Ok(())
    }
}
