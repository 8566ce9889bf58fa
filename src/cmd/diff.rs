//! `hawthornctl diff BEFORE AFTER`: prints the differences between two registers, one line per
//! entry.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Serialize;

use crate::config;
use crate::error::RouterResult;
use crate::register::AssetRegister;

/// Prints the entries that were added (`+`), removed (`-`) or changed (`~`).
pub fn run(before: &Path, after: &Path) -> RouterResult<()> {
    let before = entries(&config::open_register(before)?);
    let after = entries(&config::open_register(after)?);
    for line in diff_lines(&before, &after) {
        println!("{line}");
    }
    Ok(())
}

fn diff_lines(before: &BTreeMap<String, String>, after: &BTreeMap<String, String>) -> Vec<String> {
    let mut lines = Vec::new();
    for (name, old) in before {
        match after.get(name) {
            None => lines.push(format!("- {name}")),
            Some(new) if new != old => lines.push(format!("~ {name}: {old} -> {new}")),
            Some(_) => {}
        }
    }
    let added = after.keys().filter(|name| !before.contains_key(*name));
    lines.extend(added.map(|name| format!("+ {name}")));
    lines
}

/// Returns every entry of a register as JSON text, by kind and id.
fn entries(register: &AssetRegister) -> BTreeMap<String, String> {
    let mut all = BTreeMap::new();
    let mut add = |kind: &str, name: String, text: String| {
        all.insert(format!("{kind} {name}"), text);
    };
    for entry in &register.data_centers {
        add("data centre", entry.id.to_string(), entry_json(entry));
    }
    for entry in &register.vms {
        add("VM", entry.id.to_string(), entry_json(entry));
    }
    for entry in &register.models {
        add("model", entry.id.to_string(), entry_json(entry));
    }
    for entry in &register.engines {
        add("engine", entry.id.to_string(), entry_json(entry));
    }
    for entry in &register.services {
        add("service", entry.id.to_string(), entry_json(entry));
    }
    for entry in &register.accounts {
        add("account", entry.id.to_string(), entry_json(entry));
    }
    all
}

fn entry_json<T: Serialize>(entry: &T) -> String {
    // Serialising plain data to a string cannot fail.
    serde_json::to_string(entry).unwrap_or_default()
}
