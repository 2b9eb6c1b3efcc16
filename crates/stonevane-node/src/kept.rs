//! What people have said that must outlive this process: cache servers taken out by hand, one empty file for each in a
//! folder of `$TMPDIR`. Made and removed as one step each, so that two processes of a node that stand side by side need
//! no agreement on who writes.

use std::io::ErrorKind;
use std::path::PathBuf;

/// The longest name of a file here that is read.
const MAX_FILE: usize = 250;

/// The folder; without one, what is said holds for this process.
#[derive(Debug, Clone)]
pub struct Kept(Option<PathBuf>);

impl Kept {
    /// That of a node; no folder where there is no `$TMPDIR`.
    pub fn new(folder: Option<PathBuf>) -> Kept {
        Kept(folder.map(|folder| folder.join("spardeal-excluded")))
    }

    /// The names that are out. What is no name is passed over.
    pub fn excluded(&self) -> Vec<String> {
        let entries = self.0.as_ref().and_then(|folder| std::fs::read_dir(folder).ok());
        let files =
            entries.into_iter().flatten().flatten().filter_map(|entry| entry.file_name().into_string().ok());
        let mut names: Vec<_> = files.filter_map(|file| unhex(&file)).collect();
        names.sort_unstable();
        names
    }

    /// Keeps it that a server is out, or that it is not.
    pub fn exclude(&self, name: &str, out: bool) -> std::io::Result<()> {
        let Some(folder) = &self.0 else { return Ok(()) };
        let path = folder.join(hex(name));
        if out {
            std::fs::create_dir_all(folder)?;
            return std::fs::write(path, "");
        }
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}

/// A name as that of a file, whatever it holds.
fn hex(name: &str) -> String {
    name.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(file: &str) -> Option<String> {
    let digits = file.as_bytes();
    if digits.is_empty() || digits.len() > MAX_FILE || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes = digits.chunks(2).map(|pair| (pair.len() == 2).then(|| byte(pair)).flatten());
    String::from_utf8(bytes.collect::<Option<Vec<_>>>()?).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_out_stands_until_it_is_put_back_and_other_files_do_no_harm() {
        let folder = std::env::temp_dir().join(format!("kept-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let kept = Kept::new(Some(folder.clone()));
        assert!(kept.excluded().is_empty());
        kept.exclude("s-1", true).unwrap();
        kept.exclude("s-1", true).unwrap();
        kept.exclude("../odd name", true).unwrap();
        for file in ["noise", "abc", "ff", ""] {
            let _ = std::fs::write(folder.join("spardeal-excluded").join(file), "x");
        }
        let other = Kept::new(Some(folder.clone()));
        assert_eq!(other.excluded(), ["../odd name", "s-1"]);
        other.exclude("s-1", false).unwrap();
        other.exclude("s-1", false).unwrap();
        assert_eq!(kept.excluded(), ["../odd name"]);
        std::fs::remove_dir_all(&folder).unwrap();
        assert!(Kept::new(None).exclude("s-1", true).is_ok());
    }
}
