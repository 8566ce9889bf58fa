//! The one place where documents are opened, parsed and checked.

use std::collections::HashSet;
use std::fs;
use std::hash::Hash;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::bundle::ConfigBundle;
use crate::error::{RouterError, RouterResult};
use crate::register::AssetRegister;
use crate::rules::{RuleBook, WorkRank};
use crate::settings::{LocatorSettings, RouterSettings};

/// Reads a whole file as text.
pub fn read_text(path: &Path) -> RouterResult<String> {
    fs::read_to_string(path).map_err(|cause| RouterError::File {
        path: path.to_owned(),
        cause,
    })
}

/// Parses a YAML document; `file` names it in errors.
pub fn parse_yaml<T: DeserializeOwned>(file: &str, text: &str) -> RouterResult<T> {
    yaml_serde::from_str(text).map_err(|cause| {
        let line = cause.location().map_or(0, |place| place.line());
        let line = line_of_value(text, line, &cause.to_string());
        RouterError::Document {
            file: file.to_owned(),
            line,
            field: field_at(text, line),
            problem: cause.to_string(),
        }
    })
}

/// Opens the settings of a router and checks them.
pub fn open_router_settings(path: &Path) -> RouterResult<RouterSettings> {
    open_yaml(path)
}

/// Opens the settings of a locator and checks them.
pub fn open_locator_settings(path: &Path) -> RouterResult<LocatorSettings> {
    open_yaml(path)
}

/// Opens a register and checks it.
pub fn open_register(path: &Path) -> RouterResult<AssetRegister> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let register = parse_yaml(&file, &text)?;
    check_register(&file, &text, &register)?;
    Ok(register)
}

/// Opens a rules document and checks it.
pub fn open_rules(path: &Path) -> RouterResult<RuleBook> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let rules = parse_yaml(&file, &text)?;
    check_rules(&file, &text, &rules)?;
    Ok(rules)
}

/// Checks both documents of a bundle, as a router does before it takes a revision.
pub fn check_bundle(bundle: &ConfigBundle) -> RouterResult<()> {
    check_register("register", "", &bundle.register)?;
    check_rules("rules", "", &bundle.rules)
}

fn open_yaml<T: DeserializeOwned>(path: &Path) -> RouterResult<T> {
    let text = read_text(path)?;
    parse_yaml(&path.display().to_string(), &text)
}

/// Checks what the types of a register can't say.
pub fn check_register(file: &str, text: &str, register: &AssetRegister) -> RouterResult<()> {
    let checker = DocumentChecker { file, text };
    let centers = checker.unique("data_centers", register.data_centers.iter().map(|d| &d.id))?;
    let models = checker.unique("models", register.models.iter().map(|m| &m.id))?;
    checker.unique("vms", register.vms.iter().map(|vm| &vm.id))?;
    checker.unique("engines", register.engines.iter().map(|e| &e.id))?;
    checker.unique("services", register.services.iter().map(|s| &s.id))?;
    checker.unique("accounts", register.accounts.iter().map(|a| &a.id))?;
    checker.unique(
        "token_digest",
        register.accounts.iter().map(|a| &a.token_digest),
    )?;
    checker.unique("address", register.engines.iter().map(|e| e.address))?;
    checker.unique(
        "vm address",
        register
            .vms
            .iter()
            .flat_map(|vm| [vm.entry, vm.peer, vm.locator]),
    )?;
    for vm in &register.vms {
        checker.known("data_center", &centers, &vm.data_center, &vm.id)?;
    }
    for engine in &register.engines {
        checker.known("data_center", &centers, &engine.data_center, &engine.id)?;
        checker.known("model", &models, &engine.model, &engine.id)?;
        checker.require(engine.slots > 0, "slots", &engine.id, "expected at least 1")?;
    }
    for service in &register.services {
        let filled = !service.addresses.is_empty();
        checker.require(
            filled,
            "addresses",
            &service.id,
            "expected at least one address",
        )?;
    }
    for account in &register.accounts {
        let digest = &account.token_digest;
        let plain = digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit());
        checker.require(
            plain,
            "token_digest",
            &account.id,
            "expected 64 hexadecimal digits",
        )?;
        checker.require(
            account.weight > 0,
            "weight",
            &account.id,
            "expected at least 1",
        )?;
    }
    checker.require(
        !register.vms.is_empty(),
        "vms",
        "register",
        "expected at least one VM",
    )
}

/// Checks what the types of a rules document can't say.
pub fn check_rules(file: &str, text: &str, rules: &RuleBook) -> RouterResult<()> {
    let checker = DocumentChecker { file, text };
    let floors: f64 = WorkRank::ALL
        .iter()
        .map(|&rank| rules.ranks.of(rank).floor.get())
        .sum();
    checker.require(
        floors <= 1.0,
        "floor",
        "ranks",
        "floors add up to more than 100%",
    )?;
    for rank in WorkRank::ALL {
        let rule = rules.ranks.of(rank);
        let ordered = rule.floor <= rule.share;
        checker.require(ordered, "floor", &rank, "expected at most the share")?;
        let fits = rule.max_wait <= rule.deadline;
        checker.require(fits, "max_wait", &rank, "expected at most the deadline")?;
    }
    checker.require(
        rules.max_body.0 > 0,
        "max_body",
        "rules",
        "expected at least 1B",
    )?;
    let kept = rules.tickets_per_account > 0;
    checker.require(kept, "tickets_per_account", "rules", "expected at least 1")
}

/// Finds faults in one document and the lines they stand on.
struct DocumentChecker<'a> {
    file: &'a str,
    text: &'a str,
}

impl DocumentChecker<'_> {
    fn unique<T>(&self, field: &str, items: impl Iterator<Item = T>) -> RouterResult<HashSet<T>>
    where
        T: Eq + Hash + ToString,
    {
        let mut seen = HashSet::new();
        for item in items {
            let name = item.to_string();
            if !seen.insert(item) {
                return Err(self.fault(field, &name, 2, &format!("{name} stands twice")));
            }
        }
        Ok(seen)
    }

    fn known<T: Eq + Hash + ToString, O: ToString>(
        &self,
        field: &str,
        known: &HashSet<&T>,
        item: &T,
        owner: &O,
    ) -> RouterResult<()> {
        let problem = format!(
            "{}: {} is not in the register",
            owner.to_string(),
            item.to_string()
        );
        if known.contains(item) {
            Ok(())
        } else {
            Err(self.fault(field, &owner.to_string(), 1, &problem))
        }
    }

    fn require<O: ToString + ?Sized>(
        &self,
        holds: bool,
        field: &str,
        owner: &O,
        expected: &str,
    ) -> RouterResult<()> {
        if holds {
            return Ok(());
        }
        let owner = owner.to_string();
        Err(self.fault(field, &owner, 1, &format!("{owner}: {expected}")))
    }

    fn fault(&self, field: &str, name: &str, nth: usize, problem: &str) -> RouterError {
        RouterError::Document {
            file: self.file.to_owned(),
            line: line_of(self.text, name, nth),
            field: field.to_owned(),
            problem: problem.to_owned(),
        }
    }
}

/// The line, from 1, on which `name` stands as a whole word for the `nth` time; 0 for none.
fn line_of(text: &str, name: &str, nth: usize) -> usize {
    let is_part = |c: char| c.is_alphanumeric() || "-_.:".contains(c);
    text.lines()
        .enumerate()
        .filter(|(_, line)| {
            line.split(|c| !is_part(c))
                .any(|word| word.trim_end_matches(':') == name)
        })
        .nth(nth - 1)
        .map_or(0, |(index, _)| index + 1)
}

/// The line of the value that a fault quotes, at or after `line`. The parser places a fault in a
/// nested value at the start of its mapping.
fn line_of_value(text: &str, line: usize, problem: &str) -> usize {
    let quoted = problem
        .split_once("found \"")
        .and_then(|(_, rest)| rest.split_once('"'));
    let Some((value, _)) = quoted else {
        return line;
    };
    let holds = |text: &str| {
        let value_of =
            |(_, rest): (&str, &str)| rest.split('#').next().map(str::trim) == Some(value);
        text.split_once(':').is_some_and(value_of)
    };
    let from = line.saturating_sub(1);
    let found = text.lines().skip(from).position(holds);
    found.map_or(line, |offset| from + offset + 1)
}

/// The key that stands on `line`, or the document as a whole.
fn field_at(text: &str, line: usize) -> String {
    line.checked_sub(1)
        .and_then(|index| text.lines().nth(index))
        .and_then(|line| line.split_once(':'))
        .map_or("document", |(key, _)| key.trim_start_matches([' ', '-']))
        .to_owned()
}
