use tokio::runtime::{Builder, Runtime};

/// The runtime for so many threads: zero lets the machine decide, and one thread does everything itself.
pub fn runtime(thread_count: usize) -> std::io::Result<Runtime> {
    if thread_count == 1 {
        return Builder::new_current_thread().enable_all().build();
    }
    let mut builder = Builder::new_multi_thread();
    if thread_count > 0 {
        builder.worker_threads(thread_count);
    }
    builder.enable_all().build()
}
