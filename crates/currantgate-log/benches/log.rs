//! Measures the time to format a log line.

use std::hint::black_box;
use std::time::{Duration, Instant};

use currantgate_log::format_line;
use log::{Level, Record};

const LINES: u32 = 100_000;

/// Maximum time to format a line. A small entry VM may spend a tenth of its
/// capacity on logs: with 4 % of a core for 40 flows per second and a line for
/// each, that is 100 us per line.
const MAX_TIME_PER_LINE: Duration = Duration::from_micros(100);

fn main() {
    let fields: [(&str, log::kv::Value<'_>); 5] = [
        ("flow", "100.64.0.7:40001>198.18.0.1:443".into()),
        ("upstream", "i-7f3a91c2".into()),
        ("flows", 3_u64.into()),
        ("load", 0.5_f64.into()),
        ("revision", 7_u64.into()),
    ];
    let start = Instant::now();
    for _ in 0..LINES {
        let fields = fields.as_slice();
        let mut builder = Record::builder();
        builder
            .level(Level::Info)
            .target("bench")
            .key_values(&fields);
        let record = builder.args(format_args!("placed")).build();
        black_box(format_line("2026-01-02T03:04:05.678Z", "entry-1", &record));
    }
    let time_per_line = start.elapsed() / LINES;
    println!("log: {time_per_line:?} per line (limit {MAX_TIME_PER_LINE:?})");
    assert!(
        time_per_line <= MAX_TIME_PER_LINE,
        "formatting a line takes {time_per_line:?}"
    );
}
