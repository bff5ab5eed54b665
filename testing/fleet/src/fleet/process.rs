//! A process of the fleet, and the signals sent to it.

use super::program_start::await_program_start;
use super::{FleetError, Machine};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::OpenOptions;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::Instant;

/// A running process of the fleet. It is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a machine's program. Its output is appended to a log file with the machine's name.
    pub fn start(machine: &Machine, folder: &Path) -> Result<Self, FleetError> {
        let log_path = folder.join(format!("{}.log", machine.name));
        let at = |error| FleetError::Io(log_path.clone(), error);
        let log_file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)
            .map_err(at)?;
        let error_file = log_file.try_clone().map_err(at)?;
        let program_path = machine.binary.clone();
        let child = Command::new(&program_path)
            .args(&machine.arguments)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(log_file)
            .stderr(error_file)
            .spawn()
            .map_err(|error| FleetError::Io(program_path, error))?;
        Ok(Self { child })
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP. Waits first until a process that was just started runs its program, since the signal would end it
    /// before.
    pub fn reload(&self) {
        await_program_start(self.child.id());
        self.signal(Signal::HUP);
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process has ended. Returns whether it ended within the timeout.
    pub async fn wait(&mut self, timeout: Duration) -> bool {
        let wait_until = Instant::now() + timeout;
        while Instant::now() < wait_until {
            if let Ok(Some(_)) = self.child.try_wait() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
