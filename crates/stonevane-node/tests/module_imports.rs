//! Checks that the modules of a package import each other in one direction only, without a cycle.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The modules that each module imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// A package, and an import that the check must find in it, so that it can't pass without reading the
/// sources.
struct Package {
    name: &'static str,
    /// A number of modules that the check must exceed, so that it can't pass on a few.
    fewer_modules: usize,
    importer: &'static str,
    imported: &'static str,
}

const PACKAGES: [Package; 2] = [
    Package { name: "stonevane-node", fewer_modules: 5, importer: "driver", imported: "store" },
    Package { name: "stonevane-core", fewer_modules: 8, importer: "node", imported: "servers" },
];

/// Collects the imports of all files below a folder. A subfolder counts as one module.
fn collect_imports(folder: &Path, parent: Option<&str>, imports: &mut Imports) {
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        let module = parent.unwrap_or(&stem);
        if path.is_dir() {
            collect_imports(&path, Some(module), imports);
        } else if stem != "lib" && stem != "stonevane-node" {
            let text = std::fs::read_to_string(&path).unwrap();
            let imported = imported_modules(&text).filter(|name| name != module);
            imports.entry(module.to_owned()).or_default().extend(imported);
        }
    }
}

/// The names that follow `crate::` in a text.
fn imported_modules(text: &str) -> impl Iterator<Item = String> + '_ {
    let in_name = |letter: &char| letter.is_ascii_alphanumeric() || *letter == '_';
    let names = text.split("crate::").skip(1).map(move |rest| rest.chars().take_while(in_name).collect());
    names.filter(|name: &String| !name.is_empty())
}

/// The modules in import cycles, and those that import them: what is left after repeatedly removing the
/// modules that import none of the others.
fn modules_with_cycles(mut imports: Imports) -> Vec<String> {
    loop {
        let is_leaf = |imported: &BTreeSet<String>| imported.iter().all(|name| !imports.contains_key(name));
        let leaves: Vec<String> = imports
            .iter()
            .filter(|(_, imported)| is_leaf(imported))
            .map(|(module, _)| module.clone())
            .collect();
        if leaves.is_empty() {
            return imports.into_keys().collect();
        }
        for module in &leaves {
            imports.remove(module);
        }
    }
}

#[test]
fn modules_have_no_import_cycles() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for Package { name, fewer_modules, importer, imported } in PACKAGES {
        let mut imports = Imports::new();
        collect_imports(&crates.join(name).join("src"), None, &mut imports);
        assert!(imports.len() > fewer_modules, "too few modules were read: {imports:?}");
        assert!(imports[importer].contains(imported), "a known import was not found: {imports:?}");
        assert_eq!(modules_with_cycles(imports.clone()), Vec::<String>::new(), "{imports:?}");
        imports.get_mut(imported).unwrap().insert(importer.into());
        let found = modules_with_cycles(imports);
        let is_found = |module: &str| found.iter().any(|name| name == module);
        assert!(is_found(importer) && is_found(imported), "an added cycle was not found: {found:?}");
    }
}
