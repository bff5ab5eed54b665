//! Test support: a bench for one holder, in which the test acts as the leader, the platform and the runners.

use common::clock::MonotonicTime;
use dataplane::holder::{Holder, HolderOutput};

/// A holder, and the replies of the test to its outputs.
pub trait HolderBench {
    /// Returns the holder and the current time.
    fn holder(&mut self) -> (&mut Holder, MonotonicTime);

    /// Replies to one output. Returns the outputs with which the holder responds to the reply.
    fn reply_to(&mut self, output: HolderOutput) -> Vec<HolderOutput>;

    /// Replies to these outputs and, recursively, to those that follow from them.
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
