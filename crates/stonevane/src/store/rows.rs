//! Reads zones from CSV and JSON lines files.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use crate::error::CommandError;

/// Required header of a CSV file.
const HEADER: [&[u8]; 2] = [b"key", b"value"];

/// Format of a file, selected by its extension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Format {
    Csv,
    JsonLines,
}

impl Format {
    pub(super) fn of(path: &Path) -> Result<Format, CommandError> {
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("csv") => Ok(Format::Csv),
            Some("jsonl" | "ndjson") => Ok(Format::JsonLines),
            _ => Err(CommandError::unusable("the file name must end in .csv, .jsonl or .ndjson")),
        }
    }
}

/// A zone read from a file.
pub(super) struct Row {
    /// Line number in the file, from 1.
    pub(super) line: u64,
    pub(super) key: String,
    pub(super) value: Vec<u8>,
}

type Rows = Box<dyn Iterator<Item = Result<Row, CommandError>>>;

/// Opens a file and returns its zones.
pub(super) fn read(path: &Path) -> Result<Rows, CommandError> {
    let file = BufReader::new(File::open(path)?);
    match Format::of(path)? {
        Format::Csv => read_csv(file),
        Format::JsonLines => Ok(Box::new(file.lines().zip(1..).map(|(text, line)| read_json(text, line)))),
    }
}

fn at_line(line: u64, cause: impl std::fmt::Display) -> CommandError {
    CommandError::unusable(format!("line {line}: {cause}"))
}

fn read_csv(file: BufReader<File>) -> Result<Rows, CommandError> {
    let mut reader = csv::ReaderBuilder::new().has_headers(false).flexible(true).from_reader(file);
    let header = reader.byte_records().next().transpose().map_err(CommandError::unusable)?;
    if header.is_none_or(|header| header.iter().ne(HEADER)) {
        return Err(at_line(1, "the header must be key,value"));
    }
    Ok(Box::new(reader.into_byte_records().map(|record| {
        let record = record.map_err(CommandError::unusable)?;
        let line = record.position().map_or(0, csv::Position::line);
        let (Some(key), Some(value), 2) = (record.get(0), record.get(1), record.len()) else {
            return Err(at_line(line, "expected two columns, key and value"));
        };
        let key = std::str::from_utf8(key).map_err(|_| at_line(line, "the key is not UTF-8"))?;
        Ok(Row { line, key: key.to_owned(), value: value.to_vec() })
    })))
}

fn read_json(text: std::io::Result<String>, line: u64) -> Result<Row, CommandError> {
    let text = text.map_err(|error| at_line(line, error))?;
    let row: serde_json::Value = serde_json::from_str(&text).map_err(|error| at_line(line, error))?;
    match (row["key"].as_str(), row["value"].as_str()) {
        (Some(key), Some(value)) => Ok(Row { line, key: key.to_owned(), value: value.as_bytes().to_vec() }),
        _ => Err(at_line(line, "not an object with the strings `key` and `value`")),
    }
}
