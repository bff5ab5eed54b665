//! Prints the event log of the leader, and continues across changes of leader.

use crate::client::ClientError;
use crate::lenient_json::{or_default, read_object};
use crate::output::exit_code;
use common::frames::SocketAddress;
use common::http::{CallError, LineStreamEnd, follow_lines};
use serde::Deserialize;
use serde_json::Value;
use std::io::Write;
use std::ops::ControlFlow;
use std::process::ExitCode;
use std::time::Duration;

/// The pause before another stream is opened, unless a controller has redirected to the leader.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// An event, of which only the number is read. The line itself is printed as received.
#[derive(Default, Deserialize)]
struct Event {
    #[serde(default, deserialize_with = "or_default")]
    number: Option<u64>,
}

/// Returns the number of the event on a line, if it has one.
fn event_number(line: &str) -> Option<u64> {
    let value: Value = serde_json::from_str(line).ok()?;
    read_object::<Event>(&value).number
}

/// Reads events from one controller after another.
struct EventReader<'a> {
    addresses: &'a [SocketAddress],
    address_index: usize,
    /// The leader to which the previous controller has redirected.
    redirect: Option<SocketAddress>,
    /// The number of the first event that is not printed yet.
    next_number: u64,
    failed_count: usize,
    follow: bool,
}

/// Prints the events from a number on. With `follow`, it also prints new events as they happen, until standard output
/// is closed. Without `follow`, it fails if no controller was reached.
pub(crate) async fn print_events(
    addresses: &[SocketAddress],
    first_number: u64,
    follow: bool,
) -> Result<ExitCode, ClientError> {
    let mut reader = EventReader {
        addresses,
        address_index: 0,
        redirect: None,
        next_number: first_number,
        failed_count: 0,
        follow,
    };
    loop {
        let end = reader.print_stream().await;
        if let Some(exit_code) = reader.handle_end(end)? {
            return Ok(exit_code);
        }
        if reader.redirect.is_none() {
            tokio::time::sleep(RECONNECT_INTERVAL).await;
        }
    }
}

impl EventReader<'_> {
    /// Prints the events that one controller sends.
    async fn print_stream(&mut self) -> Result<LineStreamEnd, CallError> {
        let listed_address = self.addresses[self.address_index % self.addresses.len()];
        let address = self.redirect.take().unwrap_or(listed_address);
        let path = format!(
            "/v1/events?from={}&follow={}",
            self.next_number, self.follow
        );
        follow_lines(address, &path, |line| {
            if let Some(number) = event_number(line) {
                self.next_number = self.next_number.max(number + 1);
            }
            match writeln!(std::io::stdout(), "{line}") {
                Ok(()) => ControlFlow::Continue(()),
                Err(_) => ControlFlow::Break(()),
            }
        })
        .await
    }

    /// Chooses the next controller after a stream has ended, or returns the exit code.
    fn handle_end(
        &mut self,
        end: Result<LineStreamEnd, CallError>,
    ) -> Result<Option<ExitCode>, ClientError> {
        match end {
            Ok(LineStreamEnd::Redirect(leader)) => self.redirect = Some(leader),
            Ok(LineStreamEnd::StoppedByReader) => return Ok(Some(ExitCode::SUCCESS)),
            Ok(LineStreamEnd::Ended) if !self.follow => return Ok(Some(ExitCode::SUCCESS)),
            Ok(LineStreamEnd::Ended) => {}
            Ok(LineStreamEnd::Status(status)) if !self.follow => {
                return Ok(Some(exit_code(status)));
            }
            Ok(LineStreamEnd::Status(_)) => self.address_index += 1,
            Err(error) => {
                self.address_index += 1;
                self.failed_count += 1;
                if !self.follow && self.failed_count >= self.addresses.len() {
                    return Err(ClientError::Unreachable(error));
                }
            }
        }
        Ok(None)
    }
}
