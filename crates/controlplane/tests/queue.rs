//! The controller's input queue: inputs on which leadership depends come first, and the others do not starve.

use common::frames::SocketAddress;
use common::identity::Ticket;
use controlplane::consensus::WriteResult;
use controlplane::controller_state::ControllerInput;
use controlplane::drivers::queue::{InputKind, InputQueue, InputSender, input_queue};
use controlplane::leader_state::StreamId;
use googletest::prelude::*;
use std::time::Duration;

async fn next_kind(queue: &mut InputQueue, idle_timeout: Duration) -> InputKind {
    InputKind::of(&queue.next(idle_timeout).await.input)
}

/// Returns a queue with this many inputs from daemons.
async fn queue_with_daemon_inputs(count: u64) -> (InputSender, InputQueue) {
    let (sender, queue) = input_queue();
    for stream in 0..count {
        sender
            .send(ControllerInput::StreamLost(StreamId(stream)))
            .await
            .expect("queued");
    }
    (sender, queue)
}

#[tokio::test]
async fn leadership_inputs_come_before_daemon_inputs() {
    let (sender, mut queue) = queue_with_daemon_inputs(1_000).await;
    sender
        .send(ControllerInput::ProcessExited(SocketAddress::UNSPECIFIED))
        .await
        .expect("queued");
    let written = ControllerInput::WriteCompleted(Ticket(1), WriteResult::Synced);
    sender.send(written).await.expect("queued");
    let hour = Duration::from_secs(3600);
    assert_that!(next_kind(&mut queue, hour).await, eq(InputKind::Quorum));
    assert_that!(next_kind(&mut queue, hour).await, eq(InputKind::Disk));
    assert_that!(next_kind(&mut queue, hour).await, eq(InputKind::Daemon));
}

#[tokio::test]
async fn a_due_tick_comes_before_daemon_inputs_but_not_twice_in_a_row() {
    let (_sender, mut queue) = queue_with_daemon_inputs(3).await;
    let mut kinds = Vec::new();
    for _ in 0..6 {
        kinds.push(next_kind(&mut queue, Duration::ZERO).await);
    }
    let expected = [InputKind::Tick, InputKind::Daemon].repeat(3);
    assert_that!(kinds, eq(&expected));
}

#[tokio::test]
async fn a_stopped_controller_accepts_no_input() {
    let (sender, queue) = input_queue();
    drop(queue);
    let sent = sender
        .send(ControllerInput::ProcessExited(SocketAddress::UNSPECIFIED))
        .await;
    assert_that!(sent.is_err(), eq(true));
    assert_that!(sender.is_closed(), eq(true));
}
