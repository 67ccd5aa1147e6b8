//! Tests of formatting, parsing, rate limiting and selecting log lines.

use std::time::{Duration, Instant};

use currantgate_log::{FlowHistory, InvalidLogLine, LogLine, RateLimit, RateLimiter, format_line};
use log::{Level, Record};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rstest::rstest;

const TIME: &str = "2026-01-02T03:04:05.678Z";

/// Formats a line with the given fields.
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
    let formatted = line(TIME, &fields, "placed");
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
    let parsed: serde_json::Value = serde_json::from_str(&formatted).unwrap();
    assert_eq!(parsed, expected);
    assert!(formatted.ends_with('\n'));
}

/// Guards against `null` or `None` in the lines of sites that don't use a feature.
#[test]
fn a_field_without_a_value_is_left_out() {
    let weight: Option<f64> = None;
    let fields = [
        ("flows", 3_u64.into()),
        ("weight", log::kv::ToValue::to_value(&weight)),
    ];
    let parsed = LogLine::parse(&line(TIME, &fields, "placed")).unwrap();
    assert!(parsed.fields().contains_key("flows"));
    assert!(!parsed.fields().contains_key("weight"));
}

#[rstest]
#[case::text("hello")]
#[case::no_time("{\"message\":\"x\"}")]
#[case::cut_short("{\"time\":\"x\",\"mess")]
#[case::empty("")]
fn a_text_that_is_not_a_log_line_is_rejected(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), Err(InvalidLogLine));
}

#[test]
fn the_prefix_of_a_log_collector_is_ignored() {
    let formatted = format!("  12.5 entry-1 {}", line(TIME, &[], "placed"));
    assert_eq!(
        LogLine::parse(&formatted).unwrap().text("message"),
        Some("placed")
    );
}

#[test]
fn a_rate_limiter_counts_the_lines_that_it_leaves_out() {
    let now = Instant::now();
    let limit = RateLimit {
        lines: 2,
        interval: Duration::from_secs(1),
    };
    let mut limiter = RateLimiter::new(limit, now);
    let acquired: Vec<_> = (0..4).map(|_| limiter.try_acquire(now)).collect();
    assert_eq!(acquired, [Some(0), Some(0), None, None]);
    assert_eq!(limiter.try_acquire(now + Duration::from_secs(1)), Some(2));
}

#[test]
fn a_flow_history_has_the_lines_of_the_flow_and_of_its_upstream() {
    let flow = |time, message| {
        line(
            time,
            &[("flow", "a>b".into()), ("upstream", "i-1".into())],
            message,
        )
    };
    let upstream =
        |time, id: &'static str, message| line(time, &[("upstream", id.into())], message);
    let formatted = [
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
    // The logs of several processes are read in turn, so lines are out of order.
    for text in formatted.iter().rev() {
        history.push(LogLine::parse(text).unwrap());
    }
    let messages: Vec<_> = history
        .into_lines()
        .iter()
        .map(|l| l.text("message").unwrap().to_owned())
        .collect();
    assert_eq!(messages, ["ready", "placed", "silent", "gave up"]);
}

/// Guards against a history that shows a remote or refused flow without its cause.
#[test]
fn a_flow_history_has_the_shares_that_decided() {
    let shares = |time, service: &'static str, message| {
        let fields = [("event", "shares".into()), ("service", service.into())];
        line(time, &fields, message)
    };
    let flow = [("flow", "a>b".into()), ("service", "booking".into())];
    let formatted = [
        shares("01", "booking", "older shares"),
        shares("02", "booking", "shares"),
        shares("03", "other", "another service"),
        line("04", &flow, "refused"),
        shares("05", "booking", "later shares"),
    ];
    let mut history = FlowHistory::new("a>b");
    for text in &formatted {
        history.push(LogLine::parse(text).unwrap());
    }
    let lines = history.into_lines();
    let messages: Vec<_> = lines.iter().map(|l| l.text("message").unwrap()).collect();
    assert_eq!(messages, ["shares", "refused"]);
}

#[test]
fn the_history_of_an_unknown_flow_is_empty() {
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

    /// Any text that a caller or an upstream puts into a field stays in one line
    /// and is parsed back unchanged.
    #[test]
    fn any_field_text_is_parsed_back(text in any::<String>()) {
        let formatted = line(TIME, &[("upstream", text.as_str().into())], &text);
        prop_assert_eq!(formatted.matches('\n').count(), 1);
        let parsed = LogLine::parse(&formatted).unwrap();
        prop_assert_eq!(parsed.text("upstream"), Some(text.as_str()));
        prop_assert_eq!(parsed.text("message"), Some(text.as_str()));
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in any::<String>()) {
        let _ = LogLine::parse(&text);
    }
}

#[test]
fn the_default_filter_omits_info_lines_of_the_http_server() {
    let command = clap::Command::new("test").arg(currantgate_log::filter_arg());
    let matches = command.clone().get_matches_from(["test"]);
    let filter = currantgate_log::filter_from_matches(&matches);
    let filter = env_logger::Builder::new().parse_filters(filter).build();
    let is_enabled = |target, level| {
        let metadata = log::Metadata::builder().target(target).level(level).build();
        log::Log::enabled(&filter, &metadata)
    };
    assert!(is_enabled("currantgate::entry", Level::Info));
    assert!(!is_enabled("actix_server::builder", Level::Info));
    assert!(is_enabled("actix_server::builder", Level::Warn));
    let matches = command.get_matches_from(["test", "--log", "debug"]);
    assert_eq!(currantgate_log::filter_from_matches(&matches), "debug");
}
