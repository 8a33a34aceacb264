//! The names under which the figures of workspaces are counted.

use std::collections::BTreeSet;

use base::id;
use stages::labels::Labels;
use stages::labels::NAMED_MAX;
use stages::labels::NONE;
use stages::labels::OTHER;

fn workspace(name: &str) -> id::Workspace {
    name.parse().expect("a valid name")
}

/// Answers: made-up workspaces fill the metrics, and hide the large one.
#[test]
fn labels_are_bounded_and_name_a_large_workspace() {
    let mut labels = Labels::default();
    let large = workspace("large");
    let mut used = BTreeSet::new();
    for idx in 0..5_000 {
        used.insert(labels.label(Some(&large), 10));
        used.insert(labels.label(Some(&workspace(&format!("w{idx}"))), 1));
    }
    assert!(used.contains("large"));
    assert!(used.contains(OTHER));
    assert!(used.len() <= NAMED_MAX + 1, "{used:?}");
    assert_eq!(labels.label(Some(&large), 1), "large");
    assert_eq!(labels.label(None, 1), NONE);
}
