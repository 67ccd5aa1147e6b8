//! Lines have one shape, can be read back, and are bounded.

use std::time::{Duration, Instant};

use currantgate_log::{FlowHistory, InvalidLogLine, LogLine, RateLimit, RateLimiter, format_line};
use log::{Level, Record};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rstest::rstest;

const TIME: &str = "2026-01-02T03:04:05.678Z";

/// Returns a line with the given fields as it is written.
fn line(time: &str, fields: &[(&str, log::kv::Value<'_>)], message: &str) -> String {
    let mut builder = Record::builder();
    builder
        .level(Level::Info)
        .target("currantgate::test")
        .key_values(&fields);
    let arguments = format_args!("{message}");
    format_line(time, "entry-1", &builder.args(arguments).build())
}

#[test]
fn a_line_is_one_object_with_typed_fields() {
    let fields = [
        ("flow", "100.64.0.7:40001>198.18.0.1:443".into()),
        ("flows", 3_u64.into()),
        ("load", 0.5_f64.into()),
        ("is_near", true.into()),
    ];
    let written = line(TIME, &fields, "placed");
    let expected = serde_json::json!({
        "time": TIME,
        "level": "INFO",
        "process": "entry-1",
        "module": "currantgate::test",
        "message": "placed",
        "flow": "100.64.0.7:40001>198.18.0.1:443",
        "flows": 3,
        "load": 0.5,
        "is_near": true,
    });
    let read: serde_json::Value = serde_json::from_str(&written).unwrap();
    assert_eq!(read, expected);
    assert!(written.ends_with('\n'));
}

#[rstest]
#[case::text("hello")]
#[case::no_time("{\"message\":\"x\"}")]
#[case::cut_short("{\"time\":\"x\",\"mess")]
#[case::empty("")]
fn a_text_that_is_no_line_is_told_apart(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), Err(InvalidLogLine));
}

#[test]
fn what_a_collector_puts_in_front_is_left_out() {
    let written = format!("  12.5 entry-1 {}", line(TIME, &[], "placed"));
    assert_eq!(
        LogLine::parse(&written).unwrap().text("message"),
        Some("placed")
    );
}

#[test]
fn a_budget_counts_what_it_leaves_out() {
    let now = Instant::now();
    let limit = RateLimit {
        lines: 2,
        interval: Duration::from_secs(1),
    };
    let mut limiter = RateLimiter::new(limit, now);
    let taken: Vec<_> = (0..4).map(|_| limiter.try_acquire(now)).collect();
    assert_eq!(taken, [Some(0), Some(0), None, None]);
    assert_eq!(limiter.try_acquire(now + Duration::from_secs(1)), Some(2));
}

#[test]
fn a_story_has_the_flow_and_what_became_of_its_upstream() {
    let flow = |time, message| {
        line(
            time,
            &[("flow", "a>b".into()), ("upstream", "i-1".into())],
            message,
        )
    };
    let upstream =
        |time, id: &'static str, message| line(time, &[("upstream", id.into())], message);
    let written = [
        upstream("01", "i-1", "long before"),
        upstream("02", "i-1", "ready"),
        upstream("03", "i-2", "another upstream"),
        flow("04", "placed"),
        upstream("05", "i-1", "silent"),
        flow("06", "gave up"),
        upstream("07", "i-1", "after"),
        line("05", &[("flow", "c>d".into())], "another flow"),
    ];
    let mut history = FlowHistory::new("a>b");
    // Processes' logs come one after the other, and so out of order.
    for text in written.iter().rev() {
        history.push(LogLine::parse(text).unwrap());
    }
    let told: Vec<_> = history
        .into_lines()
        .iter()
        .map(|l| l.text("message").unwrap().to_owned())
        .collect();
    assert_eq!(told, ["ready", "placed", "silent", "gave up"]);
}

#[test]
fn an_unknown_flow_has_no_story() {
    let mut history = FlowHistory::new("a>b");
    history.push(LogLine::parse(&line(TIME, &[], "start")).unwrap());
    assert!(history.into_lines().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Whatever a caller or an upstream puts into a field: it stays one line,
    /// and is read back as it was.
    #[test]
    fn any_text_stays_in_its_field(text in any::<String>()) {
        let written = line(TIME, &[("upstream", text.as_str().into())], &text);
        prop_assert_eq!(written.matches('\n').count(), 1);
        let read = LogLine::parse(&written).unwrap();
        prop_assert_eq!(read.text("upstream"), Some(text.as_str()));
        prop_assert_eq!(read.text("message"), Some(text.as_str()));
    }

    #[test]
    fn no_text_makes_the_reader_panic(text in any::<String>()) {
        let _ = LogLine::parse(&text);
    }
}

#[test]
fn the_default_filter_leaves_out_the_chatter_of_libraries() {
    let command = clap::Command::new("test").arg(currantgate_log::filter_arg());
    let matches = command.clone().get_matches_from(["test"]);
    let filter = currantgate_log::filter_from_matches(&matches);
    let filter = env_logger::Builder::new().parse_filters(filter).build();
    let logs = |target, level| {
        let metadata = log::Metadata::builder().target(target).level(level).build();
        log::Log::enabled(&filter, &metadata)
    };
    assert!(logs("currantgate::entry", Level::Info));
    assert!(!logs("actix_server::builder", Level::Info));
    assert!(logs("actix_server::builder", Level::Warn));
    let matches = command.get_matches_from(["test", "--log", "debug"]);
    assert_eq!(currantgate_log::filter_from_matches(&matches), "debug");
}
