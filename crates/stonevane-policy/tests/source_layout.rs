//! Layout of the package's sources: line width, and no import cycles between modules.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const MAX_COLUMNS: usize = 110;

/// Modules at the root of the package, each with the other root modules that it names. Files in a folder
/// count as the module of that name.
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
        let relative = path.strip_prefix(source_folder()).unwrap();
        let first = Path::new(relative.components().next().unwrap().as_os_str());
        let module = first.file_stem().unwrap().to_string_lossy().into_owned();
        if module == "lib" {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let is_name = |c: &char| c.is_ascii_alphanumeric() || *c == '_';
        let named = text.split("crate::").skip(1).map(|rest| rest.chars().take_while(is_name).collect());
        let imported = named.filter(|name: &String| !name.is_empty() && *name != module).collect::<Vec<_>>();
        imports.entry(module).or_default().extend(imported);
    }
    imports
}

/// Returns the modules that are on an import cycle or import one: repeatedly removes modules that import none
/// of the others.
fn import_cycles(mut imports: Imports) -> Vec<String> {
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
fn no_source_line_is_too_wide() {
    let paths = sources(&source_folder());
    assert!(paths.len() > 20, "too few sources found: {paths:?}");
    for path in paths {
        for (number, line) in std::fs::read_to_string(&path).unwrap().lines().enumerate() {
            let columns = line.chars().count();
            assert!(columns <= MAX_COLUMNS, "{path:?}, line {}: {columns} columns", number + 1);
        }
    }
}

#[test]
fn modules_have_no_import_cycles() {
    let mut imports = imports();
    assert!(imports["policy"].contains("admission"), "imports not found: {imports:?}");
    assert_eq!(import_cycles(imports.clone()), Vec::<String>::new(), "{imports:?}");
    // An added cycle is detected.
    imports.get_mut("admission").unwrap().insert("policy".into());
    let detected = import_cycles(imports);
    assert!(detected.contains(&"policy".into()) && detected.contains(&"admission".into()), "{detected:?}");
}
