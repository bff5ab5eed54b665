use super::queue::InputSender;
use crate::controller_state::ControllerInput;
use crate::core::{WriteJob, WriteResult};
use crate::disk::Shelf;
use common::events;
use common::identity::Ticket;
use common::note;
use std::sync::mpsc as blocking;

/// Writes in a thread of its own, in order.
pub struct DiskDriver {
    jobs: blocking::Sender<(Ticket, WriteJob)>,
}

impl DiskDriver {
    /// Starts the thread.
    pub fn start(shelf: Shelf, inputs: InputSender) -> Self {
        let (jobs, job_inbox) = blocking::channel::<(Ticket, WriteJob)>();
        std::thread::spawn(move || {
            for (ticket, job) in job_inbox {
                let result = match shelf.write(&job) {
                    Ok(()) => WriteResult::Synced,
                    Err(fault) => {
                        note!(Error, events::DISK_FAILED, "{fault}");
                        WriteResult::Failed
                    }
                };
                if inputs.blocking_send(ControllerInput::Written(ticket, result)).is_err() {
                    return;
                }
            }
        });
        Self { jobs }
    }

    /// Orders a write.
    pub fn write(&self, ticket: Ticket, job: WriteJob) {
        let _ = self.jobs.send((ticket, job));
    }
}
