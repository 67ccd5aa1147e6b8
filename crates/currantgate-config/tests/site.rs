//! Tests that a site file is parsed, or rejected with the line or key at fault.

use currantgate_config::Site;
use rstest::rstest;

const VALID: &str = r#"
domains = ["riga-1", "riga-2"]

[[service]]
name = "booking"
address = "127.20.0.1:443"
domains = ["riga-1"]

[[service]]
name = "calendar"
address = "127.20.0.1:80"
protocol = "udp"

[service.limits]
max_flows = 10
"#;

#[test]
fn a_valid_file_is_parsed_with_defaults() {
    let site = Site::parse(VALID, "site.toml").unwrap();
    assert_eq!(site.services.len(), 2);
    assert_eq!(site.services[0].leave.drain_delay_ms, 3_000);
    assert_eq!(site.services[1].limits.max_flows, 10);
    assert_eq!(site.services[1].limits.idle_seconds, 3_600);
}

#[rstest]
#[case::unknown_key("name = \"booking\"", "nam = \"booking\"", "line 5")]
#[case::unknown_nested_key("max_flows", "max_flow", "unknown field `max_flow`")]
#[case::wrong_type("max_flows = 10", "max_flows = \"ten\"", "line 15")]
#[case::same_name("name = \"calendar\"", "name = \"booking\"", "service.booking.name")]
#[case::invalid_name("name = \"calendar\"", "name = \"cal/endar\"", "service.name")]
#[case::empty_name("name = \"calendar\"", "name = \"\"", "service.name")]
#[case::unknown_domain(
    "domains = [\"riga-1\"]\n",
    "domains = [\"riga-9\"]\n",
    "service.booking.domains"
)]
#[case::repeated_domain("\"riga-2\"]", "\"riga-1\"]", "`riga-1` is listed twice")]
#[case::no_domain("[\"riga-1\", \"riga-2\"]", "[]", "key `domains`")]
#[case::port_zero("127.20.0.1:443", "127.20.0.1:0", "service.booking.address")]
#[case::any_address("127.20.0.1:443", "0.0.0.0:443", "service.booking.address")]
#[case::zero_limit("max_flows = 10", "max_flows = 0", "service.calendar.limits.max_flows")]
fn an_invalid_value_is_reported_with_file_and_line_or_key(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] location: &str,
) {
    assert!(VALID.contains(valid));
    let text = VALID.replacen(valid, invalid, 1);
    let error = Site::parse(&text, "site.toml").unwrap_err().to_string();
    assert!(error.contains("site.toml"), "{error}");
    assert!(error.contains(location), "{error}");
}

#[test]
fn two_services_may_share_an_address_only_with_different_protocols() {
    let tcp = VALID.replace("127.20.0.1:80", "127.20.0.1:443");
    assert!(Site::parse(&tcp, "site.toml").is_ok());
    let same = tcp.replace("protocol = \"udp\"", "protocol = \"tcp\"");
    let error = Site::parse(&same, "site.toml").unwrap_err().to_string();
    assert!(error.contains("service.calendar.address"), "{error}");
}

#[test]
fn the_error_for_a_missing_file_names_it() {
    let error = Site::load(std::path::Path::new("no/such/site.toml")).unwrap_err();
    assert!(error.to_string().starts_with("no/such/site.toml"));
}
