//! Tests of the settings of control VMs: each key is documented, and errors name
//! the key at fault.

use std::collections::BTreeSet;
use std::net::IpAddr;

use currantgate_config::{ControlSettings, Prefix};
use rstest::rstest;

const PAGE: &str = include_str!("../../../guide/src/operators/control.md");

const VALID: &str = "id = 1\ndomain = \"riga-1\"\ndata = \"data\"\nlisten = \"127.0.0.1:7400\"\n\
    metrics = \"127.0.0.1:7401\"\n";

#[test]
fn the_operators_page_documents_exactly_the_existing_keys() {
    let text = format!("{VALID}[[voter]]\nid = 1\naddress = \"127.0.0.1:7400\"\n");
    let settings = ControlSettings::parse(&text, "control.toml").unwrap();
    let toml::Value::Table(mut table) = toml::Value::try_from(&settings).unwrap() else {
        panic!("settings are a table");
    };
    table.remove("voter");
    let mut keys: BTreeSet<String> = table.keys().cloned().collect();
    keys.extend(["voter.id", "voter.address"].map(String::from));

    let start = PAGE.find("| key |").unwrap();
    let section = PAGE[start..].split("\n\n").next().unwrap();
    let rows = section.lines().skip(2);
    let cells = rows.flat_map(|row| row.split('|').nth(1).unwrap().split(','));
    let documented: BTreeSet<String> = cells.map(|c| c.trim().replace('`', "")).collect();
    assert_eq!(documented, keys);
}

#[rstest]
#[case::unknown_key("speed = 3\n", "speed")]
#[case::short_key("key = \"5a\"\n", "64 hexadecimal digits")]
#[case::bits("allow = [\"10.0.0.0/33\"]\n", "number of bits")]
#[case::no_connections("max_connections = 0\n", "max_connections")]
#[case::voting_fan_out(
    "fan_out_of = [\"127.0.0.1:1\"]\n[[voter]]\nid = 1\naddress = \"127.0.0.1:2\"\n",
    "fan_out_of"
)]
#[case::twice(
    "[[voter]]\nid = 1\naddress = \"127.0.0.1:1\"\n[[voter]]\nid = 1\naddress = \"127.0.0.1:2\"\n",
    "voter.id"
)]
fn an_invalid_value_is_reported_with_file_and_key(#[case] invalid: &str, #[case] expected: &str) {
    let text = format!("{VALID}{invalid}");
    let error = ControlSettings::parse(&text, "control.toml")
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("control.toml") && error.contains(expected),
        "{error}"
    );
}

#[rstest]
#[case("10.0.0.0/8", "10.255.0.1", true)]
#[case("10.0.0.0/8", "11.0.0.1", false)]
#[case("10.0.0.7", "10.0.0.7", true)]
#[case("10.0.0.7", "10.0.0.6", false)]
#[case("0.0.0.0/0", "192.0.2.1", true)]
#[case("::/0", "2001:db8::1", true)]
#[case("2001:db8::/32", "2001:db9::1", false)]
#[case("0.0.0.0/0", "::1", false)]
fn a_prefix_contains_its_addresses(
    #[case] prefix: &str,
    #[case] address: IpAddr,
    #[case] is_contained: bool,
) {
    let prefix = Prefix::try_from(Box::from(prefix)).unwrap();
    assert_eq!(prefix.contains(address), is_contained);
}
