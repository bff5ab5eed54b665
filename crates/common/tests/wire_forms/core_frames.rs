//! Samples of what controllers say to each other.

use crate::kinds::kinds;
use crate::parts::{Line, line, long, place, stamp};
use common::frames::{CoreBody, CoreFrame, Flag, KnownMember, Many, Place};
use common::identity::{ControllerId, Term};

kinds!(CORE, core_kind, CoreBody, {
    CoreBody::Hello { .. } => "core/hello",
    CoreBody::Found { .. } => "core/found",
    CoreBody::VoteAsk { .. } => "core/vote-ask",
    CoreBody::VoteReply { .. } => "core/vote-reply",
    CoreBody::Round { .. } => "core/round",
    CoreBody::RoundReply { .. } => "core/round-reply",
    CoreBody::Accept { .. } => "core/accept",
    CoreBody::AcceptChange { .. } => "core/accept-change",
    CoreBody::AskWhole { .. } => "core/ask-whole",
    CoreBody::Named { .. } => "core/named",
    CoreBody::Accepted { .. } => "core/accepted",
});

fn known_members() -> Many<KnownMember> {
    let known = |number: u8| KnownMember {
        member: format!("daemon-{number}").into(),
        incarnation: long(number).into(),
        place: place(number),
    };
    Many(vec![known(1), known(2)])
}

fn in_frame(body: CoreBody) -> CoreFrame {
    CoreFrame {
        from: ControllerId(long(0xe0)),
        place: place(201),
        operators: place(203),
        zone: "zone-\u{e9}".into(),
        body,
    }
}

/// The rest of a line's name, where a kind has several, and what is said.
type Sample = (&'static str, CoreBody);

fn votes(term: Term) -> [Sample; 4] {
    let ask = |trial| CoreBody::VoteAsk { term, accepted: stamp(0x20), trial: Flag(trial) };
    let trial_reply = CoreBody::VoteReply {
        term,
        asked: Term(long(0x18)),
        trial: Flag(true),
        given: Flag(false),
        members: Many(Vec::new()),
        whole: Flag(false),
    };
    let vote_given = CoreBody::VoteReply {
        term,
        asked: Term(long(0x18)),
        trial: Flag(false),
        given: Flag(true),
        members: known_members(),
        whole: Flag(false),
    };
    [("", ask(false)), ("/trial", ask(true)), ("/trial", trial_reply), ("/given", vote_given)]
}

fn rounds(term: Term) -> [Sample; 3] {
    let round = |members, whole| CoreBody::Round {
        term,
        round: long(0x18),
        accepted: stamp(0x20),
        committed: stamp(0x30),
        members,
        whole: Flag(whole),
    };
    let reply = CoreBody::RoundReply { term, round: long(0x18), accepted: stamp(0x20) };
    [("", round(known_members(), true)), ("/nobody", round(Many(Vec::new()), false)), ("", reply)]
}

fn versions(term: Term) -> [Sample; 4] {
    let change = CoreBody::AcceptChange {
        term,
        base: stamp(0x20),
        stamp: stamp(0x30),
        change: b"{\"change\":1}".to_vec().into(),
        digest: (0x80..0xa0).collect::<Vec<u8>>().into(),
    };
    [
        (
            "",
            CoreBody::Accept {
                term,
                stamp: stamp(0x20),
                document: b"{\"spec\":2}".to_vec().into(),
            },
        ),
        ("", change),
        ("", CoreBody::AskWhole { term, accepted: stamp(0x20) }),
        ("", CoreBody::Accepted { term, stamp: stamp(0x20) }),
    ]
}

fn samples() -> Vec<Sample> {
    let term = Term(long(0x10));
    let hello =
        |passes_on| CoreBody::Hello { accepted: stamp(0x20), term, passes_on: Flag(passes_on) };
    let mut samples = vec![
        ("", hello(false)),
        ("/passes-on", hello(true)),
        ("", CoreBody::Found { document: b"{\"spec\":1}".to_vec().into() }),
        ("", CoreBody::Named { places: Many(vec![place(4), place(5), Place::NOWHERE]) }),
    ];
    samples.extend(votes(term));
    samples.extend(rounds(term));
    samples.extend(versions(term));
    samples
}

/// All lines of this channel.
pub fn lines() -> Vec<Line> {
    let as_line = |(rest, body): Sample| {
        let name = format!("{}{rest}", core_kind(&body));
        line(name, &in_frame(body))
    };
    samples().into_iter().map(as_line).collect()
}
