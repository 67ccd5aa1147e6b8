//! What a line costs the process that writes it.

use std::hint::black_box;
use std::time::{Duration, Instant};

use currantgate_log::format_line;
use log::{Level, Record};

const LINES: u32 = 100_000;

/// A tenth of a small entry VM: 4 % of a core with 40 flows a second, each with
/// a line, leaves 100 us for each.
const MAX_PER_LINE: Duration = Duration::from_micros(100);

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
    let per_line = start.elapsed() / LINES;
    println!("log: {per_line:?} a line (at most {MAX_PER_LINE:?})");
    assert!(per_line <= MAX_PER_LINE, "a line takes {per_line:?}");
}
