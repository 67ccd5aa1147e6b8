//! Tests that the guide's configuration reference lists exactly the keys of the
//! files, with their defaults.

use std::collections::BTreeMap;

use currantgate_config::{EntrySettings, RelaySettings, Site};
use serde::Serialize;

const REFERENCE: &str = include_str!("../../../guide/src/reference/configuration.md");

/// Parses the table under `heading` into a map from keys to defaults.
fn documented_keys(heading: &str) -> BTreeMap<String, String> {
    let start = REFERENCE.find(&format!("## {heading}")).expect(heading);
    let section = REFERENCE[start + 3..].split("\n## ").next().unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        (cells[1].replace('`', ""), cells[2].replace('`', ""))
    })
    .collect()
}

/// Returns a map from keys to values for a value in which each list of tables has
/// one element.
fn actual_keys(value: &impl Serialize) -> BTreeMap<String, String> {
    let mut collected = BTreeMap::new();
    collect("", &toml::Value::try_from(value).unwrap(), &mut collected);
    collected
}

fn collect(key: &str, value: &toml::Value, collected: &mut BTreeMap<String, String>) {
    let tables = value.as_array().and_then(|array| array.first());
    match tables.filter(|first| first.is_table()).unwrap_or(value) {
        toml::Value::Table(table) => {
            for (name, value) in table {
                let dot = if key.is_empty() { "" } else { "." };
                collect(&format!("{key}{dot}{name}"), value, collected);
            }
        }
        other => {
            collected.insert(key.into(), other.to_string());
        }
    }
}

fn assert_documented(heading: &str, with_defaults: &impl Serialize) {
    let documented = documented_keys(heading);
    let actual = actual_keys(with_defaults);
    let names = |map: &BTreeMap<String, String>| map.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&documented), names(&actual), "keys of: {heading}");
    for (key, default) in documented.iter().filter(|(_, d)| *d != "required") {
        assert_eq!(default, &actual[key], "default of `{key}`");
    }
}

#[test]
fn the_site_file_is_documented() {
    let text = "domains = [\"a\"]\n[[service]]\nname = \"booking\"\naddress = \"127.0.0.1:1\"\n";
    assert_documented("Site file", &Site::parse(text, "site.toml").unwrap());
}

#[test]
fn the_entry_settings_are_documented() {
    let text = "id = 1\ndomain = \"a\"\nsite = \"site.toml\"\nfabric = \"127.0.0.1:1\"\ndata = \"data\"\nlisten = {}\ncontrol = { servers = [\"127.0.0.1:3\"] }\n\
                [[peer]]\nid = 2\ndomain = \"a\"\naddress = \"127.0.0.1:2\"\n";
    let settings = EntrySettings::parse(text, "entry.toml").unwrap();
    assert_documented("Entry settings", &settings);
}

#[test]
fn the_relay_settings_are_documented() {
    let text = "domain = \"a\"\nsite = \"site.toml\"\ndata = \"data\"\n\
                control = { servers = [\"127.0.0.1:3\"] }\n\
                [[serve]]\nservice = \"booking\"\naddress = \"127.0.0.1:2\"\n";
    let settings = RelaySettings::parse(text, "relay.toml").unwrap();
    assert_documented("Relay settings", &settings);
}
