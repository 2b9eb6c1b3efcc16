//! Cache servers that an operator has excluded, persisted so that the exclusions outlive this process: one
//! empty file per server in a folder of `$TMPDIR`, named by the server's name in hexadecimal.
//!
//! Creating and removing a file is atomic, so two processes of a node can write without coordination.

use std::io::ErrorKind;
use std::path::PathBuf;

/// Folder within `$TMPDIR`; released versions read and write it too.
const FOLDER: &str = "spardeal-excluded";
/// File names longer than this are ignored: file systems allow at most 255 bytes.
const MAX_FILE_NAME_BYTES: usize = 250;

/// The persisted exclusions of a node.
#[derive(Debug, Clone)]
pub struct Exclusions {
    /// `None`: exclusions last as long as this process.
    folder: Option<PathBuf>,
}

impl Exclusions {
    /// Returns the exclusions persisted in a temporary folder; without one nothing is persisted.
    pub fn new(tmpdir: Option<PathBuf>) -> Exclusions {
        Exclusions { folder: tmpdir.map(|tmpdir| tmpdir.join(FOLDER)) }
    }

    /// Returns the names of the excluded servers, sorted. Files whose names do not encode a server name are
    /// ignored.
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

/// Returns the file name for a server's name: its bytes in hexadecimal, so that any name is a valid file
/// name.
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
