use super::*;

#[test]
fn exclusions_persist_until_removed_and_unrelated_files_are_ignored() {
    let folder = std::env::temp_dir().join(format!("exclusions-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let exclusions = Exclusions::new(Some(folder.clone()));
    assert!(exclusions.excluded().is_empty());
    exclusions.exclude("s-1").unwrap();
    exclusions.exclude("s-1").unwrap();
    exclusions.exclude("../odd name").unwrap();
    for file in ["noise", "abc", "ff", ""] {
        let _ = std::fs::write(folder.join("spardeal-excluded").join(file), "x");
    }
    let other = Exclusions::new(Some(folder.clone()));
    assert_eq!(other.excluded(), ["../odd name", "s-1"]);
    other.reinstate("s-1").unwrap();
    other.reinstate("s-1").unwrap();
    assert_eq!(exclusions.excluded(), ["../odd name"]);
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(Exclusions::new(None).exclude("s-1").is_ok());
}

#[test]
fn file_names_match_those_of_the_released_version() {
    // Guards against losing operators' exclusions in an upgrade: versions share the folder and the file
    // names.
    let tmpdir = std::env::temp_dir().join(format!("exclusions-released-{}", std::process::id()));
    let folder = tmpdir.join("spardeal-excluded");
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("732d31"), "").unwrap();
    let exclusions = Exclusions::new(Some(tmpdir.clone()));
    assert_eq!(exclusions.excluded(), ["s-1"]);
    exclusions.exclude("a/b \u{e9}").unwrap();
    assert_eq!(std::fs::read(folder.join("612f6220c3a9")).unwrap(), b"");
    exclusions.reinstate("s-1").unwrap();
    let remaining: Vec<_> =
        std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(remaining, ["612f6220c3a9"]);
    std::fs::remove_dir_all(&tmpdir).unwrap();
}
