use super::*;

#[test]
fn an_exclusion_stands_until_it_is_removed_and_other_files_do_no_harm() {
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
fn a_file_written_by_the_released_version_is_read_and_written_alike() {
    // Guards against losing operators' exclusions over an upgrade: the folder and the names are shared by versions.
    let tmpdir = std::env::temp_dir().join(format!("exclusions-released-{}", std::process::id()));
    let folder = tmpdir.join("spardeal-excluded");
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("732d31"), "").unwrap();
    let exclusions = Exclusions::new(Some(tmpdir.clone()));
    assert_eq!(exclusions.excluded(), ["s-1"]);
    exclusions.exclude("a/b \u{e9}").unwrap();
    assert_eq!(std::fs::read(folder.join("612f6220c3a9")).unwrap(), b"");
    exclusions.reinstate("s-1").unwrap();
    let left: Vec<_> = std::fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name()).collect();
    assert_eq!(left, ["612f6220c3a9"]);
    std::fs::remove_dir_all(&tmpdir).unwrap();
}
