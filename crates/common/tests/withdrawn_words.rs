//! Identifiers use the terms of the field: withdrawn words are not used again.
//!
//! The words, what to use instead, and the exceptions with their reasons are in `.ci/withdrawn-words.txt`.

#[path = "../../../testing/support/rust_sources.rs"]
mod rust_sources;

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const LIST: &str = include_str!("../../../.ci/withdrawn-words.txt");
const ROOTS: [&str; 4] = ["crates", "programs", "platform", "testing"];
const ALSO_IN_COMMENTS: &str = "(also in comments)";

/// A barred word.
struct BarredWord {
    word: &'static str,
    instead: &'static str,
    is_barred_in_comments: bool,
}

/// A file or folder in which one word is allowed.
struct Exception {
    word: &'static str,
    path: &'static str,
}

#[derive(Default)]
struct WordList {
    barred: Vec<BarredWord>,
    exceptions: Vec<Exception>,
}

impl WordList {
    fn parse(text: &'static str) -> Self {
        let mut list = Self::default();
        let lines = text.lines().map(str::trim);
        for line in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
            let (head, tail) = line.split_once(':').expect("a colon in each line");
            let tail = tail.trim();
            assert!(!tail.is_empty(), "no reason or other word: {line}");
            match head.strip_prefix("allow ") {
                Some(exception) => {
                    let (word, path) = exception.split_once(" in ").expect("a word and a path");
                    list.exceptions.push(Exception { word, path });
                }
                None => list.barred.push(BarredWord {
                    word: head,
                    instead: tail.trim_end_matches(ALSO_IN_COMMENTS).trim(),
                    is_barred_in_comments: tail.ends_with(ALSO_IN_COMMENTS),
                }),
            }
        }
        list
    }

    fn is_allowed(&self, word: &str, path: &str) -> bool {
        self.exceptions
            .iter()
            .any(|exception| exception.word == word && path.starts_with(exception.path))
    }

    /// Returns a message for each barred word in a source text: its position, and what to use instead.
    fn findings(&self, path: &str, source: &str) -> Vec<String> {
        let mut findings = Vec::new();
        for (line_number, line) in split_lines(source) {
            let code_words = identifier_words(&line.code);
            let comment_words = identifier_words(&line.comment);
            for barred in &self.barred {
                let is_in_code = code_words.contains(barred.word);
                let is_in_comment =
                    barred.is_barred_in_comments && comment_words.contains(barred.word);
                if (is_in_code || is_in_comment) && !self.is_allowed(barred.word, path) {
                    findings.push(format!(
                        "{path}:{line_number}: {} (use {})",
                        barred.word, barred.instead
                    ));
                }
            }
        }
        findings
    }
}

/// A line of a source without its strings, split into code and comment.
#[derive(Default)]
struct SourceLine {
    code: String,
    comment: String,
}

#[derive(Clone, Copy, PartialEq)]
enum Scanning {
    Code,
    LineComment,
    BlockComment,
    Text,
    RawText { hashes: usize },
}

/// Splits a source into lines, without its strings.
struct LineScanner {
    scanning: Scanning,
    lines: Vec<SourceLine>,
}

impl LineScanner {
    fn line(&mut self) -> &mut SourceLine {
        self.lines.last_mut().expect("a line")
    }

    /// Scans the token at the beginning of `rest`, and returns its length in characters.
    fn scan(&mut self, rest: &[char]) -> usize {
        let character = rest[0];
        match self.scanning {
            Scanning::Code => return self.scan_code(rest),
            Scanning::LineComment if character == '\n' => self.scanning = Scanning::Code,
            Scanning::LineComment => self.line().comment.push(character),
            Scanning::BlockComment if rest.starts_with(&['*', '/']) => {
                self.scanning = Scanning::Code;
                return 2;
            }
            Scanning::BlockComment => self.line().comment.push(character),
            Scanning::Text if character == '\\' => return 2,
            Scanning::Text if character == '"' => self.scanning = Scanning::Code,
            Scanning::Text => {}
            Scanning::RawText { hashes } => {
                let closing = rest.iter().skip(1).take_while(|next| **next == '#').count();
                if character == '"' && closing >= hashes {
                    self.scanning = Scanning::Code;
                    return 1 + hashes;
                }
            }
        }
        1
    }

    fn scan_code(&mut self, rest: &[char]) -> usize {
        if rest.starts_with(&['/', '/']) {
            self.scanning = Scanning::LineComment;
        } else if rest.starts_with(&['/', '*']) {
            self.scanning = Scanning::BlockComment;
        } else if let Some((hashes, opening)) = raw_text_opening(rest, &self.line().code) {
            self.scanning = Scanning::RawText { hashes };
            return opening;
        } else if rest[0] == '"' {
            self.scanning = Scanning::Text;
        } else if let Some(length) = character_literal(rest) {
            return length;
        } else {
            self.line().code.push(rest[0]);
        }
        1
    }
}

/// Returns the lines of a source with their numbers, starting at one.
fn split_lines(source: &str) -> Vec<(usize, SourceLine)> {
    let mut scanner = LineScanner {
        scanning: Scanning::Code,
        lines: vec![SourceLine::default()],
    };
    let characters: Vec<char> = source.chars().collect();
    let mut rest = characters.as_slice();
    while !rest.is_empty() {
        let scanned_count = scanner.scan(rest).min(rest.len());
        let (scanned, next) = rest.split_at(scanned_count);
        let line_ends = scanned.iter().filter(|character| **character == '\n');
        scanner
            .lines
            .extend(line_ends.map(|_| SourceLine::default()));
        rest = next;
    }
    (1..).zip(scanner.lines).collect()
}

/// Returns the number of hashes and the length of the opening delimiter, if a raw string begins here.
fn raw_text_opening(rest: &[char], code_before: &str) -> Option<(usize, usize)> {
    let is_within_word = code_before
        .chars()
        .next_back()
        .is_some_and(|last| last.is_alphanumeric() && last != 'b');
    if rest[0] != 'r' || is_within_word {
        return None;
    }
    let hashes = rest[1..].iter().take_while(|next| **next == '#').count();
    (rest.get(1 + hashes) == Some(&'"')).then_some((hashes, 2 + hashes))
}

/// Returns the length of the character literal that begins here, or `None` for a lifetime.
fn character_literal(rest: &[char]) -> Option<usize> {
    if rest[0] != '\'' {
        return None;
    }
    match rest.get(1)? {
        '\\' => rest[2..]
            .iter()
            .skip(1)
            .position(|next| *next == '\'')
            .map(|end| end + 4),
        _ => (rest.get(2) == Some(&'\'')).then_some(3),
    }
}

/// Returns the words of all identifiers in a text, in lower case.
fn identifier_words(text: &str) -> BTreeSet<String> {
    let identifiers = text.split(|character: char| !character.is_alphanumeric());
    identifiers.flat_map(camel_words).collect()
}

/// Splits a part of an identifier without underscores into its words.
fn camel_words(part: &str) -> Vec<String> {
    let mut words: Vec<String> = Vec::new();
    let mut is_after_capital = false;
    for character in part.chars() {
        let is_capital = character.is_uppercase();
        if is_capital && !is_after_capital || words.is_empty() {
            words.push(String::new());
        }
        is_after_capital = is_capital;
        words
            .last_mut()
            .expect("a word")
            .extend(character.to_lowercase());
    }
    words
}

#[gtest]
fn no_withdrawn_word_names_anything() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let list = WordList::parse(LIST);
    let mut sources: Vec<PathBuf> = ROOTS
        .iter()
        .flat_map(|folder| rust_sources::in_folder(&root.join(folder)))
        .collect();
    // Fails if folders have moved, so that the test would check too little.
    verify_that!(sources.len(), ge(200))?;
    sources.sort();
    let mut findings = Vec::new();
    for path in &sources {
        let source = std::fs::read_to_string(path)?;
        let shown_path = path.strip_prefix(&root)?.display().to_string();
        findings.extend(list.findings(&shown_path, &source));
    }
    expect_that!(findings, is_empty());
    Ok(())
}

#[gtest]
fn words_are_found_in_each_kind_of_identifier_and_not_in_strings() -> Result<()> {
    let list = WordList::parse("shelf: data directory (also in comments)\nplace: address");
    let found = |source| list.findings("a.rs", source).len();
    verify_that!(found("struct ShelfPath;"), eq(1))?;
    verify_that!(found("const MAX_SHELF: u8 = 1;"), eq(1))?;
    verify_that!(found("let own_place = 1;"), eq(1))?;
    verify_that!(found("// on the shelf"), eq(1))?;
    verify_that!(found("// in place of it"), eq(0))?;
    verify_that!(found("let key = \"place\"; replace(key);"), eq(0))?;
    verify_that!(found("let key = r#\"a \"place\" b\"#;"), eq(0))?;
    verify_that!(found("let quote = '\"'; let place = 1;"), eq(1))
}

#[gtest]
fn an_exception_allows_one_word_below_one_path() -> Result<()> {
    let list = WordList::parse("place: address\nallow place in programs/: a command-line argument");
    verify_that!(list.findings("programs/a.rs", "place: String").len(), eq(0))?;
    verify_that!(list.findings("crates/a.rs", "place: String").len(), eq(1))
}
