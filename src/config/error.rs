//! Errors in the settings, with the file and the key.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

/// Result of reading settings.
pub type Result<T, E = Error> = std::result::Result<T, E>;

quick_error! {
    /// Error in a settings file.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("read settings {}: {err}", path.display())
            source(err)
        }
        /// The file is not valid TOML.
        Syntax(path: PathBuf, reason: Box<str>) {
            display("read settings {}: {reason}", path.display())
        }
        /// A key is unknown or missing, or its value is invalid.
        Value(path: PathBuf, key: Box<str>, reason: Box<str>) {
            display("settings {}: {key}: {reason}", path.display())
        }
    }
}

impl Error {
    /// Converts the error of the TOML parser.
    pub(super) fn syntax(path: &Path, err: &toml::de::Error) -> Self {
        Self::Syntax(path.into(), err.to_string().trim_end().into())
    }

    /// Converts the deserializer's error. Its message ends with "in `section.key`", from which the
    /// key is taken.
    pub(super) fn value(path: &Path, err: &toml::de::Error) -> Self {
        let text = err.to_string();
        let (reason, key) = text
            .trim_end()
            .rsplit_once("\nin `")
            .unwrap_or((text.trim_end(), "top level`"));
        Self::Value(
            path.into(),
            key.trim_end_matches('`').into(),
            reason.trim_end().into(),
        )
    }
}
