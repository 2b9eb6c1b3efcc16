//! The rooms of the node import each other one way only.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Which of a folder's modules each of them names. A folder counts as one room.
fn imports(dir: &Path, room: Option<&str>, found: &mut BTreeMap<String, BTreeSet<String>>) {
    for entry in std::fs::read_dir(dir).unwrap().flatten() {
        let path = entry.path();
        let stem = path.file_stem().unwrap().to_string_lossy().into_owned();
        if path.is_dir() {
            imports(&path, Some(room.unwrap_or(&stem)), found);
        } else if stem != "lib" && stem != "stonevane-node" {
            let here = room.unwrap_or(&stem).to_owned();
            let text = std::fs::read_to_string(&path).unwrap();
            let names = text.split("crate::").skip(1).map(|rest| {
                rest.chars().take_while(|c| c.is_ascii_alphanumeric() || *c == '_').collect::<String>()
            });
            let others = names.filter(|name| !name.is_empty() && *name != here).collect::<Vec<_>>();
            found.entry(here).or_default().extend(others);
        }
    }
}

/// The rooms that stay when those that import none of the rest are taken away, again and again.
fn circle(mut rooms: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let free: Vec<_> = rooms
            .iter()
            .filter(|(_, uses)| uses.iter().all(|other| !rooms.contains_key(other)))
            .map(|(room, _)| room.clone())
            .collect();
        if free.is_empty() {
            return rooms.into_keys().collect();
        }
        free.iter().for_each(|room| drop(rooms.remove(room)));
    }
}

#[test]
fn no_two_rooms_import_each_other() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    for (package, rooms, (above, below)) in
        [("stonevane-node", 5, ("driver", "store")), ("stonevane-core", 8, ("node", "servers"))]
    {
        let mut found = BTreeMap::new();
        imports(&crates.join(package).join("src"), None, &mut found);
        assert!(found.len() > rooms && found[above].contains(below), "the rooms were read: {found:?}");
        assert_eq!(circle(found.clone()), Vec::<String>::new(), "{found:?}");
        found.get_mut(below).unwrap().insert(above.into());
        let seen = circle(found);
        assert!(seen.contains(&above.into()) && seen.contains(&below.into()), "a circle is seen: {seen:?}");
    }
}
