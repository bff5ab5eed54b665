//! The messages of errors, which operators read in logs and responses, and their causes.

use common::frames::{FrameError, SocketAddress};
use common::http::{BodyError, CallError};
use common::identity::{FunctionKey, RunnerId};
use common::readers::{PathError, PathErrorReason, SettingsError};
use common::spec::DocumentError;
use googletest::prelude::*;
use std::error::Error;
use std::io::ErrorKind;
use std::path::PathBuf;

/// Checks an error's message, and whether the error has a cause.
fn check_error(error: &dyn Error, text: &str, has_cause: bool) -> Result<()> {
    verify_that!(error.to_string(), eq(text))?;
    verify_that!(error.source().is_some(), eq(has_cause)).with_failure_message(|| text.to_owned())
}

fn not_found() -> std::io::Error {
    ErrorKind::NotFound.into()
}

fn path_error(path: &str, reason: PathErrorReason) -> PathError {
    PathError {
        path: path.to_owned(),
        reason,
    }
}

#[gtest]
fn frame_error_messages_are_stable() -> Result<()> {
    check_error(
        &FrameError::from(not_found()),
        "connection: entity not found",
        true,
    )?;
    check_error(
        &FrameError::WrongMagic,
        "not a rudderstream connection",
        false,
    )?;
    check_error(
        &FrameError::WrongVersion(9),
        "frames of serial 9, ours are of 6",
        false,
    )?;
    check_error(
        &FrameError::WrongChannel(7),
        "channel 7 is not served here",
        false,
    )?;
    check_error(&FrameError::Oversized(17), "frame of 17 bytes", false)?;
    check_error(
        &FrameError::Trailing(3),
        "3 bytes left over in a frame",
        false,
    )?;
    let malformed = FrameError::from(binrw::Error::Io(not_found()));
    verify_that!(malformed.to_string(), starts_with("malformed frame: "))?;
    verify_that!(malformed.source().is_some(), eq(true))
}

#[gtest]
fn path_error_messages_are_stable() -> Result<()> {
    let texts = [
        (PathErrorReason::Missing, "a.b is missing"),
        (PathErrorReason::WrongType("a text"), "a.b is not a text"),
        (
            PathErrorReason::OutOfBounds(1, 9),
            "a.b is not within 1 to 9",
        ),
        (PathErrorReason::UnknownField, "a.b is not a known key"),
        (
            PathErrorReason::UnknownReference("function", "f".to_owned()),
            "a.b names no function: \"f\"",
        ),
        (
            PathErrorReason::Duplicate("r".to_owned()),
            "a.b matches the same as r",
        ),
        (
            PathErrorReason::Malformed("is odd".to_owned()),
            "a.b is odd",
        ),
    ];
    for (reason, text) in texts {
        check_error(&path_error("a.b", reason), text, false)?;
    }
    let of_document = path_error("", PathErrorReason::Missing);
    check_error(&of_document, "document is missing", false)
}

#[gtest]
fn settings_error_messages_are_stable() -> Result<()> {
    let (file, source) = (PathBuf::from("/etc/s.json"), "/etc/s.json".to_owned());
    check_error(
        &SettingsError::Unreadable(file.clone(), not_found()),
        "/etc/s.json: entity not found",
        true,
    )?;
    let json_error = serde_json::from_str::<u8>("x").expect_err("not JSON");
    let json_text = json_error.to_string();
    check_error(
        &SettingsError::NotJson(file, json_error),
        &format!("/etc/s.json: not JSON: {json_text}"),
        true,
    )?;
    check_error(
        &SettingsError::InvalidKey(source.clone(), path_error("zone", PathErrorReason::Missing)),
        "/etc/s.json: zone is missing",
        true,
    )?;
    check_error(
        &SettingsError::UnwritableFolder(source.clone(), PathBuf::from("/data"), not_found()),
        "/etc/s.json: data cannot be written at /data: entity not found",
        true,
    )?;
    let address = SocketAddress::UNSPECIFIED;
    check_error(
        &SettingsError::CannotListen(source, "listen", address, not_found()),
        "/etc/s.json: listen cannot listen at 0.0.0.0:0: entity not found",
        true,
    )
}

#[gtest]
fn call_and_body_error_messages_are_stable() -> Result<()> {
    check_error(
        &CallError::NotSent(not_found()),
        "no connection: entity not found",
        true,
    )?;
    check_error(&CallError::ConnectTimeout, "no connection in time", false)?;
    check_error(&CallError::Timeout, "no answer in time", false)?;
    check_error(
        &CallError::MergedResponses,
        "two answers ran into each other",
        false,
    )?;
    check_error(
        &CallError::Body("too long".into()),
        "answer's body: too long",
        true,
    )?;
    let invalid = hyper::Request::builder().uri(" ").body(());
    let invalid = CallError::Request(invalid.expect_err("an invalid address"));
    check_error(&invalid, "request: invalid uri character", true)?;
    check_error(&BodyError::TooLarge, "body too large", false)?;
    check_error(&BodyError::Interrupted, "body broke off", false)?;
    check_error(&BodyError::TooSlow, "body came too slowly", false)
}

#[gtest]
fn document_and_name_error_messages_are_stable() -> Result<()> {
    let json_error = serde_json::from_str::<u8>("x").expect_err("not JSON");
    let text = format!("not JSON: {json_error}");
    check_error(&DocumentError::from(json_error), &text, true)?;
    check_error(
        &DocumentError::Path(path_error("spec", PathErrorReason::Missing)),
        "spec is missing",
        true,
    )?;
    check_error(
        &DocumentError::WrongBase,
        "the change leads from another version",
        false,
    )?;
    check_error(
        &DocumentError::WrongDigest,
        "the changed document has another digest",
        false,
    )?;
    let key_error = "odd".parse::<FunctionKey>().expect_err("an error");
    check_error(&key_error, "\"odd\" is not a function key", false)?;
    let runner_error = "odd".parse::<RunnerId>().expect_err("an error");
    check_error(&runner_error, "\"odd\" is not a runner id", false)
}
