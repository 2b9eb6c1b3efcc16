//! The layout of the package's sources: the width of lines, and imports that go one way only.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const MAX_COLUMNS: usize = 110;

/// A module at the root of the package, and the others that it names. A folder belongs to its module.
type Imports = BTreeMap<String, BTreeSet<String>>;

fn sources(folder: &Path) -> Vec<PathBuf> {
    let paths = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    paths.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

fn imports() -> Imports {
    let mut imports = Imports::new();
    for path in sources(&source_folder()) {
        let inside = path.strip_prefix(source_folder()).unwrap();
        let first = Path::new(inside.components().next().unwrap().as_os_str());
        let module = first.file_stem().unwrap().to_string_lossy().into_owned();
        if module == "lib" {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let is_name = |c: &char| c.is_ascii_alphanumeric() || *c == '_';
        let named = text.split("crate::").skip(1).map(|rest| rest.chars().take_while(is_name).collect());
        let others = named.filter(|name: &String| !name.is_empty() && *name != module).collect::<Vec<_>>();
        imports.entry(module).or_default().extend(others);
    }
    imports
}

/// What is left when modules that import none of the others are taken away, again and again.
fn circles(mut imports: Imports) -> Vec<String> {
    loop {
        let before = imports.len();
        let names: BTreeSet<String> = imports.keys().cloned().collect();
        imports.retain(|_, others| others.iter().any(|other| names.contains(other)));
        if imports.len() == before {
            return imports.into_keys().collect();
        }
    }
}

#[test]
fn every_source_keeps_to_its_columns() {
    let paths = sources(&source_folder());
    assert!(paths.len() > 20, "the sources were read: {paths:?}");
    for path in paths {
        for (number, line) in std::fs::read_to_string(&path).unwrap().lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{path:?}, line {}: {columns} columns", number + 1);
        }
    }
}

#[test]
fn modules_import_each_other_one_way_only() {
    let mut imports = imports();
    assert!(imports["policy"].contains("admission"), "the imports were read: {imports:?}");
    assert_eq!(circles(imports.clone()), Vec::<String>::new(), "{imports:?}");
    // A circle is seen.
    imports.get_mut("admission").unwrap().insert("policy".into());
    let seen = circles(imports);
    assert!(seen.contains(&"policy".into()) && seen.contains(&"admission".into()), "{seen:?}");
}
