//! Random strings for secrets and identifiers.

use std::fmt::Write;
use std::io;

use crate::error::Error;
use crate::error::Result;

/// Returns `N` bytes from the system's random number generator in hexadecimal.
pub fn random_hex<const N: usize>() -> Result<Box<str>> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|err| Error::Random(io::Error::other(err)))?;
    let mut text = String::with_capacity(2 * N);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text.into())
}
