//! Tests of a held function: slots, slow start, idempotency keys, retries, rejections and replication.

mod bench;
#[path = "../support/held_function.rs"]
mod held_function;
#[path = "../support/holder_bench.rs"]
mod holder_bench;
#[path = "../support/lease.rs"]
mod lease;
mod once_requests;
mod rejections;
mod release;
mod replication;
mod retries;
mod runners;
mod sends;
mod withdrawal;
