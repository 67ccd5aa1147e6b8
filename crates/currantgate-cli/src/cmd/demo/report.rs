//! The report of the demonstration.

use std::fmt;
use std::time::Duration;

use currantgate_config::EntryId;
use currantgate_standin::{Caller, CallerReport, CallerStats};
use hdrhistogram::Histogram;
use serde::Serialize;

/// Outcomes of the flows and load of the upstreams and entries.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    #[serde(flatten)]
    callers: CallerReport,
    upstreams: Vec<UpstreamRow>,
    services: Vec<ServiceRow>,
    entries: Vec<EntryRow>,
}

/// Report of an upstream.
#[derive(Debug, Serialize)]
pub(crate) struct UpstreamRow {
    /// Name of the upstream.
    pub(crate) name: Box<str>,
    /// Name of its service.
    pub(crate) service: Box<str>,
    /// Total number of flows accepted.
    pub(crate) accepted: u64,
    /// Number of flows open when callers opened the last one.
    pub(crate) open: usize,
    /// Whether it was drained and so is excluded from the load balance.
    pub(crate) drained: bool,
}

/// Load balance across the upstreams of a service.
#[derive(Debug, Serialize)]
struct ServiceRow {
    name: Box<str>,
    mean_open: f64,
    max_open: usize,
    max_by_mean: f64,
}

/// Report of an entry.
#[derive(Debug, Serialize)]
struct EntryRow {
    id: EntryId,
    control_bytes_per_second: f64,
}

impl Report {
    /// Creates a report from the counters of callers, upstreams and entries.
    pub(crate) fn new(
        callers: &[Caller],
        misrouted: u64,
        upstreams: Vec<UpstreamRow>,
        control_bytes: &[(EntryId, u64)],
        time: Duration,
    ) -> Self {
        let entries = control_bytes.iter().map(|(id, bytes)| EntryRow {
            id: *id,
            control_bytes_per_second: (*bytes as f64 / time.as_secs_f64()).round(),
        });
        Self {
            callers: total_callers(callers, misrouted),
            services: balance(&upstreams),
            upstreams,
            entries: entries.collect(),
        }
    }
}

fn total_callers(callers: &[Caller], misrouted: u64) -> CallerReport {
    let mut stats = CallerStats {
        misrouted,
        ..CallerStats::default()
    };
    let mut first_answer_times: Option<Histogram<u64>> = None;
    for caller in callers {
        stats += caller.stats();
        let histogram = caller.first_answer_times();
        match &mut first_answer_times {
            None => first_answer_times = Some(histogram),
            Some(sum) => sum
                .add(histogram)
                .expect("the histograms have the same bounds"),
        }
    }
    let first_answer_times = first_answer_times.expect("there are callers");
    CallerReport::new(stats, &first_answer_times)
}

fn balance(upstreams: &[UpstreamRow]) -> Vec<ServiceRow> {
    let mut names: Vec<&str> = upstreams.iter().map(|row| &*row.service).collect();
    names.sort_unstable();
    names.dedup();
    let row = |name: &str| {
        let is_counted = |row: &&UpstreamRow| &*row.service == name && !row.drained;
        let open: Vec<usize> = upstreams
            .iter()
            .filter(is_counted)
            .map(|row| row.open)
            .collect();
        let mean = open.iter().sum::<usize>() as f64 / open.len() as f64;
        let max = open.iter().copied().max().unwrap_or(0);
        ServiceRow {
            name: name.into(),
            mean_open: mean,
            max_open: max,
            max_by_mean: max as f64 / mean,
        }
    };
    names.into_iter().map(row).collect()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.callers)?;
        writeln!(f, "upstream           accepted      open")?;
        for row in &self.upstreams {
            let note = if row.drained { "  drained" } else { "" };
            writeln!(
                f,
                "{:<16} {:>10} {:>9}{note}",
                row.name, row.accepted, row.open
            )?;
        }
        writeln!(f, "\nservice           mean open  max open  max/mean")?;
        for row in &self.services {
            writeln!(
                f,
                "{:<16} {:>10.1} {:>9} {:>9.2}",
                row.name, row.mean_open, row.max_open, row.max_by_mean
            )?;
        }
        writeln!(f, "\nentry   control bytes/s")?;
        for row in &self.entries {
            writeln!(f, "{:>5} {:>17.0}", row.id, row.control_bytes_per_second)?;
        }
        Ok(())
    }
}
