//! Cache servers that an operator has excluded by hand, persisted so that the exclusions outlive this process: one empty
//! file for each, named by the server's name in hexadecimal, in a folder of `$TMPDIR`.
//!
//! Creating and removing a file is atomic, so two processes of a node need no agreement on who writes.

use std::io::ErrorKind;
use std::path::PathBuf;

/// The folder within `$TMPDIR`; released versions read and write it too.
const FOLDER: &str = "spardeal-excluded";
/// Longer file names are ignored: no file system creates them for a name.
const MAX_FILE_NAME_BYTES: usize = 250;

/// The persisted exclusions of a node.
#[derive(Debug, Clone)]
pub struct Exclusions {
    /// `None`: exclusions last as long as this process.
    folder: Option<PathBuf>,
}

impl Exclusions {
    /// The exclusions below a temporary folder; without one nothing is persisted.
    pub fn new(tmpdir: Option<PathBuf>) -> Exclusions {
        Exclusions { folder: tmpdir.map(|tmpdir| tmpdir.join(FOLDER)) }
    }

    /// The names of the excluded servers, sorted. Files that encode no name are ignored.
    pub fn excluded(&self) -> Vec<String> {
        let entries = self.folder.as_ref().and_then(|folder| std::fs::read_dir(folder).ok());
        let files =
            entries.into_iter().flatten().flatten().filter_map(|entry| entry.file_name().into_string().ok());
        let mut names: Vec<_> = files.filter_map(|file| decode_file_name(&file)).collect();
        names.sort_unstable();
        names
    }

    /// Persists that a server is excluded.
    ///
    /// # Errors
    /// The file cannot be created.
    pub fn exclude(&self, name: &str) -> std::io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join(encode_file_name(name)), "")
    }

    /// Persists that a server is no longer excluded.
    ///
    /// # Errors
    /// The file cannot be removed.
    pub fn reinstate(&self, name: &str) -> std::io::Result<()> {
        let Some(folder) = &self.folder else { return Ok(()) };
        match std::fs::remove_file(folder.join(encode_file_name(name))) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}

/// The file name of a server's name: its bytes in hexadecimal, so that any name is a valid file name.
fn encode_file_name(name: &str) -> String {
    use std::fmt::Write;
    name.bytes().fold(String::with_capacity(2 * name.len()), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

fn decode_file_name(file: &str) -> Option<String> {
    let digits = file.as_bytes();
    let well_formed = !digits.is_empty()
        && digits.len() <= MAX_FILE_NAME_BYTES
        && digits.len().is_multiple_of(2)
        && digits.iter().all(u8::is_ascii_hexdigit);
    if !well_formed {
        return None;
    }
    let bytes: Option<Vec<u8>> = digits.chunks_exact(2).map(decode_byte).collect();
    String::from_utf8(bytes?).ok()
}

fn decode_byte(digits: &[u8]) -> Option<u8> {
    u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

#[cfg(test)]
mod tests;
