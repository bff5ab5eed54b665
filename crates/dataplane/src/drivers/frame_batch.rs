//! The batching of frames into writes.

/// Queued frames are written together until a batch has this many bytes.
pub(crate) const WRITE_BATCH_BYTES: usize = 64 << 10;
