//! Parses and displays log lines.

use std::fmt;

use serde_json::{Map, Value};

/// The error for a text that is not a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidLogLine;

impl fmt::Display for InvalidLogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a JSON object with a time and a message")
    }
}

impl std::error::Error for InvalidLogLine {}

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Text before the JSON object, such as a prefix that a log
    /// collector adds, is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no JSON object with a time and a message.
    pub fn parse(text: &str) -> Result<Self, InvalidLogLine> {
        let start = text.find('{').ok_or(InvalidLogLine)?;
        let fields = serde_json::from_str(text[start..].trim_end()).map_err(|_| InvalidLogLine)?;
        let line = Self { fields };
        let is_complete = line.text("time").is_some() && line.text("message").is_some();
        is_complete.then_some(line).ok_or(InvalidLogLine)
    }

    /// Returns the field `name` if it is a string.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the time of the line.
    pub fn time(&self) -> &str {
        self.text("time").unwrap_or_default()
    }

    /// Returns all fields.
    pub fn fields(&self) -> &Map<String, Value> {
        &self.fields
    }
}

impl fmt::Display for LogLine {
    /// Writes time, process, level and message, then the other fields.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leading = ["time", "process", "level", "message"];
        for (i, name) in leading.iter().enumerate() {
            let separator = if i == 0 { "" } else { "  " };
            write!(f, "{separator}{}", self.text(name).unwrap_or("-"))?;
        }
        let is_omitted = |name: &str| leading.contains(&name) || name == "module";
        for (name, value) in self.fields.iter().filter(|(name, _)| !is_omitted(name)) {
            match value {
                Value::String(text) => write!(f, "  {name}={text}")?,
                other => write!(f, "  {name}={other}")?,
            }
        }
        Ok(())
    }
}
