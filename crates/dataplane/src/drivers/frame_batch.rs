//! Batching of frames into writes.

/// Queued frames are added to a write until it has at least this many bytes.
pub(crate) const WRITE_BATCH_BYTES: usize = 64 << 10;
