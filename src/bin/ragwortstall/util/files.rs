//! Input files given on the command line; `-` is standard input.

use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::Result;

/// Reads a file, or standard input if the path is `-`.
pub fn read_input(path: &Path) -> Result<Vec<u8>> {
    if path == Path::new("-") {
        let mut buf = Vec::new();
        io::stdin()
            .read_to_end(&mut buf)
            .map_err(|err| Error::File(path.into(), err))?;
        return Ok(buf);
    }
    fs::read(path).map_err(|err| Error::File(path.into(), err))
}

/// Parses a document: TOML if the path ends in `.toml`, otherwise JSON.
pub fn read_document<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let bytes = read_input(path)?;
    let invalid = |reason: String| Error::InvalidContent(path.into(), reason.trim_end().into());
    if path
        .extension()
        .is_some_and(|extension| extension == "toml")
    {
        let text = String::from_utf8(bytes).map_err(|err| invalid(err.to_string()))?;
        return toml::from_str(&text).map_err(|err| invalid(err.to_string()));
    }
    serde_json::from_slice(&bytes).map_err(|err| invalid(err.to_string()))
}
