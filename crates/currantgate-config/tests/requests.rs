//! Tests of the settings of requests in site and relay files.

use currantgate_config::{RelaySettings, RequestSettings, Site};
use rstest::rstest;

fn parse_requests(repeatable: &str) -> Result<RequestSettings, String> {
    let text = format!(
        "domains = [\"a\"]\n[[service]]\nname = \"booking\"\naddress = \"127.0.0.1:1\"\n\
         requests.repeatable = {repeatable}\n"
    );
    let site = Site::parse(&text, "site.toml").map_err(|e| e.to_string())?;
    Ok(site.services[0].requests.clone())
}

#[rstest]
#[case("[]", "GET", "/free", false)]
#[case("[{ methods = [\"GET\"] }]", "GET", "/any", true)]
#[case(
    "[{ methods = [\"GET\"], path_prefix = \"/free\" }]",
    "GET",
    "/free/4",
    true
)]
#[case(
    "[{ methods = [\"GET\"], path_prefix = \"/free\" }]",
    "POST",
    "/free/4",
    false
)]
#[case(
    "[{ methods = [\"GET\"], path_prefix = \"/free\" }]",
    "GET",
    "/book",
    false
)]
#[case(
    "[{ methods = [\"GET\"], path_prefix = \"/free\" }]",
    "GET",
    "/free/../book",
    false
)]
#[case(
    "[{ methods = [\"GET\"], path_prefix = \"/free\" }]",
    "GET",
    "/free/.%2E/book",
    false
)]
fn only_declared_requests_are_repeatable(
    #[case] declared: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: bool,
) {
    let requests = parse_requests(declared).unwrap();
    assert_eq!(requests.is_repeatable(method, path), expected);
}

#[test]
fn the_error_for_an_invalid_method_names_its_key() {
    let e = parse_requests("[{ methods = [\"get\"] }]").unwrap_err();
    assert!(
        e.contains("service.booking.requests.repeatable.methods"),
        "{e}"
    );
}

#[test]
fn the_error_for_an_invalid_retry_share_names_its_key() {
    let text = "domain = \"a\"\nsite = \"s\"\ndispatch.retry_share = 1.5\n";
    let e = RelaySettings::parse(text, "relay.toml").unwrap_err();
    assert!(e.to_string().contains("dispatch.retry_share"), "{e}");
}
