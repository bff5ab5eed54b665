//! The pages refer to existing code: paths in code spans resolve to a definition or module, and named files exist.

#[path = "../../../testing/support/rust_sources.rs"]
mod rust_sources;

use googletest::prelude::*;
use std::fs;
use std::path::{Path, PathBuf};

/// The pages that guide readers through the code. Pages that record the past (measurements, rounds, incidents, the list
/// of renamed tests) name code as it was at the time.
const PAGES: [&str; 7] = [
    "DEVELOPERS.md",
    "README.md",
    "docs/architecture.md",
    "docs/glossary.md",
    "docs/proofs.md",
    "docs/source-design.md",
    "docs/faults.md",
];
const PAGE_FOLDERS: [&str; 2] = ["docs/design", "docs/operators"];
const SOURCE_FOLDERS: [&str; 4] = ["crates", "programs", "platform", "testing"];
/// The heading of the glossary's sections of withdrawn names, and the heading of the section after them.
const EARLIER_WORDS: &str = "## Plain words of the users' pages";
const MODULES: &str = "## Modules done and left";
const LIBRARIES: [&str; 4] = ["hyper", "std", "tokio", "serde_json"];
const DEFINING_WORDS: [&str; 9] = [
    "fn", "struct", "enum", "trait", "type", "const", "static", "mod", "impl",
];

struct Source {
    path: String,
    words_by_line: Vec<Vec<String>>,
}

fn words_of(text: &str) -> Vec<String> {
    text.split(|character: char| !character.is_alphanumeric() && character != '_')
        .filter(|word| !word.is_empty())
        .map(str::to_owned)
        .collect()
}

impl Source {
    fn read(root: &Path, path: &Path) -> Self {
        let text = fs::read_to_string(path).expect("a source");
        let path = path.strip_prefix(root).expect("a path below the root");
        Self {
            path: path.display().to_string(),
            words_by_line: text.lines().map(words_of).collect(),
        }
    }

    /// Returns whether the file or a folder above it has this name.
    fn is_within(&self, module: &str) -> bool {
        let folders_and_file = self.path.trim_end_matches(".rs").split('/');
        folders_and_file
            .map(|part| part.replace('-', "_"))
            .any(|part| part == module)
    }

    /// Returns whether a line defines an item, a field or a variant of this name.
    fn defines(&self, name: &str) -> bool {
        self.words_by_line.iter().any(|words| {
            let is_item = words
                .windows(2)
                .any(|pair| DEFINING_WORDS.contains(&pair[0].as_str()) && pair[1] == name);
            let is_impl = words.first().is_some_and(|word| word == "impl")
                && words.iter().any(|word| word == name);
            let first = words.iter().find(|word| *word != "pub");
            is_item || is_impl || first.is_some_and(|word| word == name)
        })
    }
}

/// Returns whether the last name of a path is a module or an item within the module or type before it.
fn resolves(sources: &[Source], names: &[&str]) -> bool {
    let [.., owner, name] = names else {
        return true;
    };
    sources.iter().any(|source| {
        let has_owner = source.is_within(owner) || source.defines(owner);
        has_owner && (source.is_within(name) || source.defines(name))
    })
}

/// Returns a page without the sections of withdrawn names.
fn without_earlier_words(page: &str) -> String {
    let (before, after) = page.split_once(EARLIER_WORDS).unwrap_or((page, ""));
    let modules = after.split_once(MODULES).map_or("", |(_, modules)| modules);
    format!("{before}{modules}")
}

/// Returns the text of the code spans in a page, without fenced blocks.
fn code_spans(page: &str) -> Vec<String> {
    let mut is_fenced = false;
    let mut spans = Vec::new();
    for line in page.lines() {
        if line.trim_start().starts_with("```") {
            is_fenced = !is_fenced;
        } else if !is_fenced {
            spans.extend(line.split('`').skip(1).step_by(2).map(str::to_owned));
        }
    }
    spans
}

fn is_rust_path(span: &str) -> bool {
    let is_path_character =
        |character: char| character.is_alphanumeric() || character == '_' || character == ':';
    span.contains("::") && span.chars().all(is_path_character)
}

/// Returns whether a file's path or name belongs to a file of the tree.
fn is_file(root: &Path, sources: &[Source], span: &str) -> bool {
    let ending = format!("/{span}");
    root.join(span).exists() || sources.iter().any(|source| source.path.ends_with(&ending))
}

/// Returns the code spans of a page that refer to nothing in the tree.
fn stale_references(root: &Path, sources: &[Source], page: &str) -> Vec<String> {
    let mut stale = Vec::new();
    for span in code_spans(page) {
        let span = span.trim_end_matches("()");
        let names: Vec<&str> = span.split("::").collect();
        let is_of_library = LIBRARIES.contains(&names[0]);
        let is_stale_path = is_rust_path(span) && !is_of_library && !resolves(sources, &names);
        let names_a_file = span.ends_with(".rs") && !span.contains([' ', '*', '{']);
        if is_stale_path || (names_a_file && !is_file(root, sources, span)) {
            stale.push(span.to_owned());
        }
    }
    stale
}

fn pages(root: &Path) -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = PAGES.iter().map(|page| root.join(page)).collect();
    for folder in PAGE_FOLDERS {
        for entry in fs::read_dir(root.join(folder)).expect("a folder of pages") {
            let path = entry.expect("an entry").path();
            if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path);
            }
        }
    }
    pages.sort();
    pages
}

#[gtest]
fn pages_name_code_that_exists() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let sources: Vec<Source> = SOURCE_FOLDERS
        .iter()
        .flat_map(|folder| rust_sources::in_folder(&root.join(folder)))
        .map(|path| Source::read(&root, &path))
        .collect();
    let mut findings = Vec::new();
    for path in pages(&root) {
        let text = fs::read_to_string(&path)?;
        for reference in stale_references(&root, &sources, &without_earlier_words(&text)) {
            findings.push(format!("{}: {reference}", path.display()));
        }
    }
    verify_that!(findings, is_empty())
}

#[gtest]
fn a_stale_reference_is_found() -> Result<()> {
    let source = Source {
        path: "crates/dataplane/src/holder/queue.rs".to_owned(),
        words_by_line: ["pub struct Queue {", "    waiting: usize,", "fn admit() {}"]
            .map(words_of)
            .to_vec(),
    };
    let page = "`holder::queue` `Queue::waiting` `queue::admit()` `hyper::Request` `queue.rs`\n\
                ```\n`queue::fenced`\n```\n\
                `holder::inbox` `Queue::length` `queue::reject` `tries.rs`";
    verify_that!(
        stale_references(Path::new("/no/such/root"), &[source], page),
        elements_are![
            eq("holder::inbox"),
            eq("Queue::length"),
            eq("queue::reject"),
            eq("tries.rs")
        ]
    )
}
