//! Output to standard output, as tables or JSON.

use std::io;
use std::io::Write;

use serde::Serialize;

use crate::error::Result;

/// Prints a value as an indented JSON document.
pub fn json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).map_err(io::Error::from)?;
    line(&text)
}

/// Prints a value as JSON on one line.
pub fn json_line<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string(value).map_err(io::Error::from)?;
    line(&text)
}

/// Prints a line.
pub fn line(text: &str) -> Result<()> {
    writeln!(io::stdout(), "{text}")?;
    Ok(())
}

/// A table with columns as wide as their widest cells.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with a header row.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(ToString::to_string).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table.
    pub fn print(&self) -> Result<()> {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let text: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            line(text.join("  ").trim_end())?;
        }
        Ok(())
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
