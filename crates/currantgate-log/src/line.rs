//! A line read back.

use std::fmt;

use serde_json::{Map, Value};

/// Why a text is no line of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLogLine;

impl fmt::Display for InvalidLogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a JSON object with a time and a message")
    }
}

impl std::error::Error for InvalidLogLine {}

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; what stands before the object, as collectors of logs put
    /// it there, is left out.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no such object.
    pub fn parse(text: &str) -> Result<Self, InvalidLogLine> {
        let start = text.find('{').ok_or(InvalidLogLine)?;
        let fields = serde_json::from_str(text[start..].trim_end()).map_err(|_| InvalidLogLine)?;
        let line = Self { fields };
        let is_whole = line.text("time").is_some() && line.text("message").is_some();
        is_whole.then_some(line).ok_or(InvalidLogLine)
    }

    /// Returns a field that is a text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns when it was written.
    pub fn time(&self) -> &str {
        self.text("time").unwrap_or_default()
    }

    /// Returns the fields.
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }
}

impl fmt::Display for LogLine {
    /// Writes time, process, level and message, then the other fields.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = ["time", "process", "level", "message"];
        for (i, name) in head.iter().enumerate() {
            let gap = if i == 0 { "" } else { "  " };
            write!(f, "{gap}{}", self.text(name).unwrap_or("-"))?;
        }
        let is_told = |name: &str| head.contains(&name) || name == "module";
        for (name, value) in self.fields.iter().filter(|(name, _)| !is_told(name)) {
            match value {
                Value::String(text) => write!(f, "  {name}={text}")?,
                other => write!(f, "  {name}={other}")?,
            }
        }
        Ok(())
    }
}
