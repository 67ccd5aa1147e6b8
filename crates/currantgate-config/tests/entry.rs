//! Tests that an entry's settings file is parsed, or rejected with the key at
//! fault.

use currantgate_config::EntrySettings;
use rstest::rstest;

const VALID: &str = r#"
id = 1
domain = "riga-1"
site = "site.toml"
fabric = "127.0.0.1:7000"

[listen]
fabric = "127.0.1.1:5555"
tunnel = "127.0.1.1:5556"
peer = "127.0.1.1:5557"
announce = "127.0.1.1:5558"
metrics = "127.0.1.1:5559"

[[peer]]
id = 2
domain = "riga-1"
address = "127.0.1.2:5557"

[[peer]]
id = 3
domain = "riga-2"
address = "127.0.1.3:5557"

[flow]
hash_key = "000102030405060708090a0b0c0d0e0f"
"#;

#[test]
fn a_valid_file_is_parsed_with_defaults() {
    let settings = EntrySettings::parse(VALID, "entry.toml").unwrap();
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.budget.bytes_per_second, 4_096);
    assert_eq!(
        settings.flow.hash_key.value(),
        0x0001_0203_0405_0607_0809_0a0b_0c0d_0e0f
    );
}

#[rstest]
#[case::own_id("id = 2", "id = 1", "peer.id")]
#[case::same_id("id = 3", "id = 2", "peer.id")]
#[case::same_address("127.0.1.3:5557", "127.0.1.2:5557", "peer.address")]
#[case::own_address("127.0.1.3:5557", "127.0.1.1:5557", "peer.address")]
#[case::same_listener("127.0.1.1:5556", "127.0.1.1:5555", "listen.tunnel")]
#[case::short_key("000102030405060708090a0b0c0d0e0f", "00", "hash_key")]
#[case::odd_key(
    "000102030405060708090a0b0c0d0e0f",
    "+00102030405060708090a0b0c0d0e0f",
    "hash_key"
)]
#[case::buckets("[flow]", "[flow]\nbuckets = 1000", "flow.buckets")]
#[case::small_mtu("[flow]", "[flow]\ninner_mtu = 100", "flow.inner_mtu")]
#[case::no_budget(
    "[flow]",
    "[budget]\nbytes_per_second = 0\n[flow]",
    "budget.bytes_per_second"
)]
#[case::unknown_key("[flow]", "[flow]\nbucket = 8", "unknown field `bucket`")]
fn an_invalid_value_is_reported_with_file_and_key(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] location: &str,
) {
    assert!(VALID.contains(valid));
    let text = VALID.replacen(valid, invalid, 1);
    let error = EntrySettings::parse(&text, "entry.toml")
        .unwrap_err()
        .to_string();
    assert!(error.contains("entry.toml"), "{error}");
    assert!(error.contains(location), "{error}");
}

#[test]
fn debug_output_hides_the_hash_key() {
    let settings = EntrySettings::parse(VALID, "entry.toml").unwrap();
    let shown = format!("{settings:?}").to_lowercase();
    assert!(!shown.contains("0405060708"), "{shown}");
    assert!(shown.contains("hidden"), "{shown}");
}

#[test]
fn an_invalid_hash_key_is_not_quoted_in_the_error() {
    let text = VALID.replace("000102030405060708090a0b0c0d0e0f", "5ec7e75ec7e7");
    let error = EntrySettings::parse(&text, "entry.toml")
        .unwrap_err()
        .to_string();
    assert!(!error.contains("5ec7e7"), "{error}");
}
