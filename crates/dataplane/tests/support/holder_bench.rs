//! A bench for one holder: the test plays the leader, the platform and the runners.

use common::clock::MonotonicTime;
use dataplane::holder::{Holder, HolderOutput};

/// A holder with what the test plays to it.
pub trait HolderBench {
    /// The holder, and the present time.
    fn holder(&mut self) -> (&mut Holder, MonotonicTime);

    /// Plays the reply to one output; returns the holder's outputs in response to that.
    fn reply_to(&mut self, output: HolderOutput) -> Vec<HolderOutput>;

    /// Replies to these outputs, and to those that follow from them.
    fn handle_outputs(&mut self, outputs: Vec<HolderOutput>) {
        for output in outputs {
            let outputs = self.reply_to(output);
            self.handle_outputs(outputs);
        }
    }

    /// Calls the holder and replies to its outputs.
    fn drive(&mut self, step: impl FnOnce(&mut Holder, MonotonicTime) -> Vec<HolderOutput>) {
        let (holder, now) = self.holder();
        let outputs = step(holder, now);
        self.handle_outputs(outputs);
    }
}
