//! The modules of a package import each other in one direction only: there are no import circles.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The modules that each module imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// A package, and an import that must be found in it.
struct Package {
    name: &'static str,
    /// More modules than this must be found.
    modules: usize,
    importer: &'static str,
    imported: &'static str,
}

const PACKAGES: [Package; 2] = [
    Package { name: "stonevane-node", modules: 5, importer: "driver", imported: "store" },
    Package { name: "stonevane-core", modules: 8, importer: "node", imported: "servers" },
];

/// Collects the imports of all files below a folder. A folder counts as one module.
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

/// The modules that remain when those that import none of the rest are removed, again and again.
fn circle(mut imports: Imports) -> Vec<String> {
    loop {
        let is_free = |imported: &BTreeSet<String>| imported.iter().all(|name| !imports.contains_key(name));
        let free: Vec<String> = imports
            .iter()
            .filter(|(_, imported)| is_free(imported))
            .map(|(module, _)| module.clone())
            .collect();
        if free.is_empty() {
            return imports.into_keys().collect();
        }
        for module in &free {
            imports.remove(module);
        }
    }
}

#[test]
fn no_two_modules_import_each_other() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for Package { name, modules, importer, imported } in PACKAGES {
        let mut imports = Imports::new();
        collect_imports(&crates.join(name).join("src"), None, &mut imports);
        assert!(imports.len() > modules, "the modules were read: {imports:?}");
        assert!(imports[importer].contains(imported), "the imports were read: {imports:?}");
        assert_eq!(circle(imports.clone()), Vec::<String>::new(), "{imports:?}");
        imports.get_mut(imported).unwrap().insert(importer.into());
        let found = circle(imports);
        let is_found = |module: &str| found.iter().any(|name| name == module);
        assert!(is_found(importer) && is_found(imported), "a circle is found: {found:?}");
    }
}
