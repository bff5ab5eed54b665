//! Sample documents, members, claims and list entries for the tests.

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

/// Returns a document of version 2 and term 5, with two functions and one route.
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
    let mut document =
        Document::initial(vec![member]).with_spec(spec, &checked_spec, ChangeId::from("c"));
    document.document_version = DocumentVersion {
        term: Term(5),
        version: document.document_version.version,
    };
    document
}

/// Returns the first incarnation of a member, as known to the leader.
pub fn known(name: &str) -> KnownMember {
    KnownMember {
        member: name.into(),
        incarnation: 1.into(),
        address: SocketAddress::UNSPECIFIED,
    }
}

/// Returns the first incarnation of a member, as failure detectors name it.
pub fn first_incarnation(name: &str) -> MemberIncarnation {
    MemberIncarnation {
        member: name.into(),
        incarnation: 1.into(),
    }
}

/// Returns the key of a function of the document.
pub fn function_named(name: &str) -> FunctionKey {
    FunctionKey::new(name, Version(2))
}

/// Returns the key of the function with a route.
pub fn function() -> FunctionKey {
    function_named("f")
}

/// Returns the first frame of a stream.
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

/// Returns the runner of the function's previous lease.
pub fn old_runner() -> RunnerId {
    RunnerId {
        fencing_token: FencingToken(7),
        ordinal: 3,
    }
}

/// Returns the instance of the old runner.
pub fn instance() -> Instance {
    Instance {
        name: "l1".into(),
        address: SocketAddress::UNSPECIFIED,
    }
}

/// Returns a claim of the function whose runner can be adopted.
pub fn adoptable_claim(is_releasing: bool) -> Claim {
    let mut claim = claim(is_releasing);
    claim.runners.0[0].instance = LengthPrefixed(vec![instance()]);
    claim.runners.0[0].is_adoptable = Flag(true);
    claim
}

/// Returns a claim of the function with its old runner, which cannot be adopted.
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

/// Returns the list entry of the instance, without the name of its runner.
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

/// Returns the list entry of a worker.
pub fn worker(name: &str, zone: &str, memory_mb: u32) -> ListedWorker {
    ListedWorker {
        worker: name.into(),
        zone: zone.into(),
        memory_mb,
        draining: false,
    }
}
