//! Compares the encodings of documents, daemons' views, deltas and digests with the fixtures, and reads the fixtures.
//! Guards against unintended changes to stored and transferred forms.

mod form_samples;
#[path = "../../../testing/support/form_list.rs"]
mod forms;

use common::frames::{ByteString, compress, decompress};
use common::identity::{
    ChangeId, ControllerId, DocumentVersion, FunctionKey, RunnerId, Term, Version,
};
use common::ring::ring_position;
use common::seal::{hex, seal};
use common::spec::{
    AppliedChanges, ChangeStatus, DaemonView, Document, ListedMember, Voter, read_spec,
};
use form_samples::{address, bytes_of_hex};
use forms::{Form, check, expected_forms};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;

const DOCUMENTS: &str = "documents.txt";
const DIGESTS: &str = "digests.txt";
/// A compressed document. A later compressor may produce other bytes, but the bytes of the fixture must remain
/// readable.
const COMPRESSED: &str = "packed.txt";

fn voters(numbers: &[u8]) -> Vec<Voter> {
    let voter = |number: &u8| Voter {
        id: ControllerId(0xabcd_ef00 + u64::from(*number)),
        address: address(*number),
        zone: format!("zone-{number}").into(),
    };
    numbers.iter().map(voter).collect()
}

fn membership(numbers: &[u8]) -> BTreeSet<ListedMember> {
    let member = |number: &u8| ListedMember {
        member: format!("daemon-{number}").into(),
        address: address(*number),
    };
    numbers.iter().map(member).collect()
}

/// Returns a spec with every key that operators may write.
fn spec() -> Value {
    json!({
        "functions": {
            "segment-check": {
                "memory_mb": 192, "boot_ms": 250, "slots": 3, "runners": {"min": 1, "max": 9},
                "connections": 77, "labels": {"team": "t\u{e9}"},
            },
            "resize": {"memory_mb": 64, "boot_ms": 0, "slots": 1},
        },
        "routes": {
            "by-pattern": {
                "method": "POST", "path": "/segments/{id}", "function": "segment-check",
                "budget_ms": 900, "patience_ms": 800, "target_ms": 700, "rank": 2, "tries": 4,
                "kind": "once", "identities": "may_come_again", "labels": {"note": "\"quoted\""},
            },
            "by-prefix": {
                "host": "images.internal", "prefix": "/resize/",
                "functions": {"resize": 3, "segment-check": 1},
                "budget_ms": 1200, "kind": "repeatable", "identities": "fresh",
            },
        },
        "limits": {
            "header_bytes": 4096, "body_bytes": 65536, "header_ms": 2000, "idle_ms": 30000,
            "labels": {"from": "a form"},
        },
        "labels": {"owner": "operators"},
    })
}

fn with_spec(document: &Document, spec: Value, change: &str, number: u64) -> Document {
    let checked_spec = read_spec(&spec).expect("a good spec");
    document
        .with_spec(spec, &checked_spec, ChangeId::from(change))
        .numbered(number)
}

/// Returns a document with a value in every field.
fn full_document() -> Document {
    let mut document = Document::initial(voters(&[1, 2, 3]));
    document = with_spec(&document, spec(), "first spec", 300);
    document = document.with_zone("zone-7".into(), true, ChangeId::from("zone-7 out"));
    document = document.with_zone("zone-8".into(), true, ChangeId::from("zone-8 out"));
    let mut joint = document.with_voters(voters(&[1, 2, 4]), ChangeId::from("4 for 3"));
    joint.previous_voters = document.voters;
    joint.document_version.term = Term(9);
    joint.with_membership(membership(&[5, 6]))
}

/// Returns a later version of [`full_document`], with records added, changed and removed.
fn newer_document() -> Document {
    let document = full_document();
    let mut newer_spec = spec();
    let functions = newer_spec["functions"].as_object_mut().expect("functions");
    functions.remove("resize");
    functions.insert(
        "scale".to_owned(),
        json!({"memory_mb": 96, "boot_ms": 5, "slots": 2}),
    );
    functions["segment-check"]["slots"] = json!(4);
    let routes = newer_spec["routes"].as_object_mut().expect("routes");
    routes.remove("by-prefix");
    routes["by-pattern"]["budget_ms"] = json!(901);
    newer_spec["labels"] = json!({"owner": "others"});
    let mut newer = with_spec(&document, newer_spec, "second spec", 301);
    newer = newer.with_zone("zone-8".into(), false, ChangeId::from("zone-8 back"));
    newer.previous_voters = Vec::new();
    newer.document_version.term = Term(10);
    newer.with_membership(membership(&[6, 7]))
}

/// Encodes a document without the fields that earlier versions of the program did not write.
fn earlier_bytes(document: &Document) -> Vec<u8> {
    let mut value: Value = serde_json::from_slice(&document.to_bytes()).expect("JSON");
    let fields = value.as_object_mut().expect("an object");
    for later_field in ["taken", "roster", "unseen", "number"] {
        fields.remove(later_field);
    }
    for change in fields["changes"].as_array_mut().expect("changes") {
        change.as_object_mut().expect("a change").remove("number");
    }
    value.to_string().into_bytes()
}

fn form(name: &str, text_bytes: Vec<u8>) -> Form {
    Form {
        name: name.to_owned(),
        text: String::from_utf8(text_bytes).expect("text"),
    }
}

fn fixture_text(name: &str) -> Vec<u8> {
    let forms = expected_forms(DOCUMENTS).expect("forms");
    let found = forms
        .into_iter()
        .find(|form| form.name == name)
        .expect("the form");
    found.text.into_bytes()
}

#[gtest]
fn documents_views_and_deltas_keep_their_written_form() -> Result<()> {
    let (document, newer) = (full_document(), newer_document());
    let (view, newer_view) = (document.view(), newer.view());
    let initial = Document::initial(voters(&[1]));
    check(
        DOCUMENTS,
        &[
            form("document/founding", initial.to_bytes()),
            form("document/whole", document.to_bytes()),
            form("document/newer", newer.to_bytes()),
            form("document/change", document.delta_to(&newer)),
            form("document/change-of-nothing", document.delta_to(&document)),
            form("document/earlier", earlier_bytes(&document)),
            form("view/whole", view.to_bytes()),
            form("view/newer", newer_view.to_bytes()),
            form("view/change", view.delta_to(&newer_view)),
        ],
    )
}

#[gtest]
fn documents_are_read_from_the_fixture() -> Result<()> {
    for (name, document) in [
        ("document/founding", Document::initial(voters(&[1]))),
        ("document/whole", full_document()),
        ("document/newer", newer_document()),
    ] {
        let read = Document::from_bytes(&fixture_text(name))?;
        verify_that!(read == document, eq(true)).failure_message(name)?;
    }
    Ok(())
}

#[gtest]
fn documents_of_earlier_versions_are_read() -> Result<()> {
    let read = Document::from_bytes(&fixture_text("document/earlier"))?;
    let expected = full_document();
    verify_that!(
        read.document_version,
        eq(DocumentVersion {
            term: Term(9),
            version: Version(6)
        })
    )?;
    verify_that!(read.number, eq(0))?;
    verify_that!(read.hidden_versions, eq(0))?;
    verify_that!(read.membership.is_empty(), eq(true))?;
    verify_that!(*read.applied_changes, eq(&AppliedChanges::default()))?;
    verify_that!(read.spec == expected.spec, eq(true))?;
    verify_that!(read.voters, eq(&expected.voters))?;
    verify_that!(read.previous_voters, eq(&expected.previous_voters))?;
    let names: Vec<&str> = read
        .changes
        .iter()
        .map(|recorded| recorded.id.as_str())
        .collect();
    verify_that!(
        names,
        eq(&["first spec", "zone-7 out", "zone-8 out", "4 for 3"])
    )
}

#[gtest]
fn deltas_of_the_fixture_apply_to_their_base() -> Result<()> {
    let document = Document::from_bytes(&fixture_text("document/whole"))?;
    let changed =
        document.apply_delta(&fixture_text("document/change"), &newer_document().digest())?;
    verify_that!(changed == newer_document(), eq(true))?;
    verify_that!(
        changed
            .applied_changes
            .status_of(301, &"second spec".into()),
        eq(ChangeStatus::Applied(Version(7)))
    )?;
    let unchanged = document.apply_delta(
        &fixture_text("document/change-of-nothing"),
        &document.digest(),
    )?;
    verify_that!(unchanged == document, eq(true))?;
    let view = DaemonView::from_bytes(&fixture_text("view/whole"))?;
    verify_that!(view == full_document().view(), eq(true))?;
    let newer_view = newer_document().view();
    let changed_view = view.apply_delta(&fixture_text("view/change"), &newer_view.digest())?;
    verify_that!(changed_view == newer_view, eq(true))?;
    verify_that!(
        DaemonView::from_bytes(&fixture_text("view/newer"))? == newer_view,
        eq(true)
    )
}

fn seals() -> [Form; 2] {
    let function = FunctionKey::new("segment-check", Version(7)).in_region(&"east".into());
    let runner = RunnerId {
        fencing_token: 0x51_0000_5253.into(),
        ordinal: 0x1f,
    };
    let sealed = |reject| {
        seal(
            &"try-1".into(),
            &function,
            runner,
            reject,
            b"{\"answered\":true}",
        )
    };
    [("seal/run", false), ("seal/shed", true)].map(|(name, reject)| Form {
        name: name.to_owned(),
        text: sealed(reject),
    })
}

/// Covers digests and ring positions, on which processes must agree, and the text forms of names in headers and paths.
#[gtest]
fn digests_seals_and_names_keep_their_form() -> Result<()> {
    let (document, newer) = (full_document(), newer_document());
    let text = |name: &str, text: String| Form {
        name: name.to_owned(),
        text,
    };
    let function = FunctionKey::new("segment-check", Version(7));
    let runner = RunnerId {
        fencing_token: 0x51_0000_5253.into(),
        ordinal: 0x1f,
    };
    let mut forms = vec![
        text("digest/document-whole", hex(&document.digest())),
        text("digest/document-newer", hex(&newer.digest())),
        text("digest/view-whole", hex(&document.view().digest())),
        text("digest/view-newer", hex(&newer.view().digest())),
        text(
            "ring/daemon-1",
            format!("{:016x}", ring_position(&"daemon-1".into())),
        ),
        text(
            "ring/daemon-2",
            format!("{:016x}", ring_position(&"daemon-2".into())),
        ),
        text("name/function", function.to_string()),
        text(
            "name/regional-function",
            function.in_region(&"east".into()).to_string(),
        ),
        text("name/runner", runner.to_string()),
        text("name/version", document.document_version.to_string()),
    ];
    forms.extend(seals());
    check(DIGESTS, &forms)?;
    let read_function: FunctionKey = "segment-check@7~east".parse()?;
    verify_that!(read_function, eq(&function.in_region(&"east".into())))?;
    verify_that!("r-5100005253-1f".parse::<RunnerId>()?, eq(runner))
}

#[gtest]
fn the_compressed_text_of_the_fixture_is_decompressed() -> Result<()> {
    let long_text = full_document().to_bytes();
    if std::env::var_os("RUDDERSTREAM_WRITE_FORMS").is_some() {
        let compressed_text = hex(&compress(&long_text).0);
        return check(
            COMPRESSED,
            &[Form {
                name: "packed/document".to_owned(),
                text: compressed_text,
            }],
        );
    }
    let forms = expected_forms(COMPRESSED)?;
    verify_that!(forms.len(), eq(1))?;
    let compressed_bytes = bytes_of_hex(&forms[0].text);
    verify_that!(
        decompress(&ByteString::from(compressed_bytes))? == long_text,
        eq(true)
    )?;
    verify_that!(compress(&long_text).0.first(), some(eq(&1)))?;
    let short_text = b"{\"short\":1}";
    verify_that!(
        compress(short_text) == ByteString::from(short_text.to_vec()),
        eq(true)
    )
}
