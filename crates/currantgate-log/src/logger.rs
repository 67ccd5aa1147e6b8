//! The logger of a process.

use std::io::Write as _;

use env_logger::fmt::Formatter;
use env_logger::{Builder, Target};
use log::Record;

use crate::fields::Fields;
use crate::sink::{self, Sink};

/// Writes all queued lines when dropped; must be kept until the process ends.
#[derive(Debug)]
#[must_use]
pub struct LogGuard;

impl Drop for LogGuard {
    fn drop(&mut self) {
        sink::flush();
    }
}

/// Starts the logger of the process `process`. It writes the lines that pass
/// `filter`, a level such as `debug` or pairs of a module and a level.
pub fn init(process: &str, filter: &str) -> LogGuard {
    let process = process.to_owned();
    Builder::new()
        .parse_filters(filter)
        .target(Target::Pipe(Box::new(Sink::stdout().clone())))
        .format(move |f, record| write_line(f, &process, record))
        .init();
    LogGuard
}

fn write_line(f: &mut Formatter, process: &str, record: &Record<'_>) -> std::io::Result<()> {
    let time = f.timestamp_millis().to_string();
    let line = format_line(&time, process, record);
    // The sink expects one complete line in each write.
    f.write_all(line.as_bytes())
}

/// Formats a record as a JSON object in one line, with a newline at the end.
pub fn format_line(time: &str, process: &str, record: &Record<'_>) -> String {
    let mut fields = Fields::default();
    if let Err(e) = record.key_values().visit(&mut fields) {
        fields
            .map
            .insert("field_error".into(), e.to_string().into());
    }
    let mut map = fields.map;
    map.insert("time".into(), time.into());
    map.insert("level".into(), record.level().as_str().into());
    map.insert("process".into(), process.into());
    map.insert("module".into(), record.target().into());
    map.insert("message".into(), record.args().to_string().into());
    let mut line = serde_json::Value::Object(map).to_string();
    line.push('\n');
    line
}
