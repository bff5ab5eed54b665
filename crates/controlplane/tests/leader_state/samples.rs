//! The document, members, claims and list entries with which the tests begin.

use common::adapter::{ListedRunner, ListedWorker};
use common::frames::{
    Claim, ClaimedRunner, DaemonToLeader, Flag, Host, Instance, KnownMember, LengthPrefixed,
    MemberIncarnation, SocketAddress,
};
use common::identity::{
    ChangeId, ControllerId, DocumentVersion, FencingToken, FunctionKey, RunnerId, Term, Version,
};
use common::spec::{Document, Voter, read_spec};
use serde_json::json;

/// Version 2, of term 5, with two functions and one route.
pub fn document() -> Document {
    let member = Voter {
        id: ControllerId(1),
        address: SocketAddress::UNSPECIFIED,
        zone: "l".into(),
    };
    let spec = json!({
        "functions": {
            "f": {"memory_mb": 100, "boot_ms": 10, "slots": 2},
            "g": {"memory_mb": 100, "boot_ms": 10, "slots": 2},
        },
        "routes": {"f": {"method": "POST", "path": "/f", "function": "f", "budget_ms": 3000, "kind": "once"}},
    });
    let checked_spec = read_spec(&spec).expect("a good spec");
    let mut made =
        Document::founding(vec![member]).with_spec(spec, &checked_spec, ChangeId::from("c"));
    made.document_version = DocumentVersion {
        term: Term(5),
        version: made.document_version.version,
    };
    made
}

/// A member in its first incarnation.
pub fn known(name: &str) -> KnownMember {
    KnownMember {
        member: name.into(),
        incarnation: 1.into(),
        address: SocketAddress::UNSPECIFIED,
    }
}

/// The first incarnation of a member.
pub fn first_incarnation(name: &str) -> MemberIncarnation {
    MemberIncarnation {
        member: name.into(),
        incarnation: 1.into(),
    }
}

/// The key of a function of the document.
pub fn function_named(name: &str) -> FunctionKey {
    FunctionKey::new(name, Version(2))
}

/// The key of the function with a route.
pub fn function() -> FunctionKey {
    function_named("f")
}

/// The first frame of a stream.
pub fn hello(host: Host, age_ms: u32, granted: bool) -> DaemonToLeader {
    let granted = Flag(granted);
    DaemonToLeader::Hello {
        host,
        ingress: SocketAddress::UNSPECIFIED,
        version: Version(2),
        age_ms,
        granted,
    }
}

/// The runner of the function's last lease.
pub fn old_runner() -> RunnerId {
    RunnerId {
        fencing_token: FencingToken(7),
        ordinal: 3,
    }
}

/// The instance in which the old runner runs.
pub fn instance() -> Instance {
    Instance {
        name: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
    }
}

/// A claim of the function whose runner may be adopted.
pub fn adoptable_claim(is_releasing: bool) -> Claim {
    let mut made = claim(is_releasing);
    made.runners.0[0].instance = LengthPrefixed(vec![instance()]);
    made.runners.0[0].is_adoptable = Flag(true);
    made
}

/// A claim of the function with its old runner.
pub fn claim(is_releasing: bool) -> Claim {
    let runner = ClaimedRunner {
        runner: old_runner(),
        worker: "w".into(),
        memory_mb: 100,
        instance: LengthPrefixed(Vec::new()),
        is_adoptable: Flag(false),
    };
    Claim {
        function: function(),
        fencing_token: FencingToken(7),
        runners: LengthPrefixed(vec![runner]),
        is_releasing: Flag(is_releasing),
        replica: LengthPrefixed(Vec::new()),
        complete: Flag(false),
    }
}

/// The instance as the platform lists it, without the name of its runner.
pub fn listed_instance(leaving: bool) -> ListedRunner {
    ListedRunner {
        instance: instance(),
        runner: None,
        function: "f".into(),
        key: None,
        worker: "w".into(),
        leaving,
    }
}

/// A worker as the platform lists it.
pub fn worker(name: &str, zone: &str, memory_mb: u32) -> ListedWorker {
    ListedWorker {
        worker: name.into(),
        zone: zone.into(),
        memory_mb,
        draining: false,
    }
}
