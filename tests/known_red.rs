//! The tests that are ignored are just those that KNOWN-RED.txt lists.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// The names of the ignored tests in the files of `folder`.
fn ignored(folder: &Path) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for file in fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_none_or(|extension| extension != "rs") {
            continue;
        }
        let text = fs::read_to_string(&path).unwrap();
        let mut lines = text.lines().peekable();
        while let Some(line) = lines.next() {
            if !line.trim_start().starts_with("#[ignore") {
                continue;
            }
            let next = lines
                .peek()
                .and_then(|line| line.trim().strip_prefix("fn "));
            let name = next.and_then(|function| function.split_once('('));
            let (name, _) = name.expect("a test follows its attributes");
            names.insert(name.to_owned());
        }
    }
    names
}

/// A test was passed over although no known fault explains it, or a listed one ran and turned the suite red.
#[test]
fn ignored_tests_are_the_ones_that_are_listed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = ignored(&root.join("tests"));
    found.extend(ignored(&root.join("platform/tests")));
    let list = fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap();
    let listed = list.lines().filter_map(|line| line.split(',').next());
    // Other entries name scripts, not tests.
    let listed = listed.filter(|name| !name.is_empty() && !name.contains(['/', ' ']));
    let listed: BTreeSet<String> = listed.map(str::to_owned).collect();
    assert_eq!(found, listed);
}
