//! The thread that writes to the data directory.

use super::queue::InputSender;
use crate::consensus::{WriteJob, WriteResult};
use crate::controller_state::ControllerInput;
use crate::storage::DataDirectory;
use common::events;
use common::identity::Ticket;
use common::log_event;
use std::sync::mpsc as blocking;

/// Writes to the data directory in a dedicated thread, in the order of the jobs. The thread is detached. It ends when
/// the writer has been dropped and all jobs are done, or when the controller accepts no more results.
pub(super) struct DiskWriter {
    jobs: blocking::Sender<(Ticket, WriteJob)>,
}

impl DiskWriter {
    /// Starts the writer thread.
    pub(super) fn start(data_directory: DataDirectory, inputs: InputSender) -> Self {
        let (jobs, job_receiver) = blocking::channel::<(Ticket, WriteJob)>();
        std::thread::spawn(move || {
            for (ticket, job) in job_receiver {
                let result = match data_directory.write(&job) {
                    Ok(()) => WriteResult::Synced,
                    Err(error) => {
                        log_event!(Error, events::DISK_WRITE_FAILED, "{error}");
                        WriteResult::Failed
                    }
                };
                if inputs
                    .blocking_send(ControllerInput::WriteCompleted(ticket, result))
                    .is_err()
                {
                    return;
                }
            }
        });
        Self { jobs }
    }

    /// Queues a write. Its result is sent to the controller as an input.
    pub(super) fn write(&self, ticket: Ticket, job: WriteJob) {
        let _ = self.jobs.send((ticket, job));
    }
}
