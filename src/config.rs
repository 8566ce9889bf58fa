//! Reads, parses and validates the YAML documents: settings, register and rules.

use std::collections::HashSet;
use std::fs;
use std::hash::Hash;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::bundle::ConfigBundle;
use crate::error::{RouterError, RouterResult};
use crate::ids::check_id;
use crate::register::AssetRegister;
use crate::rules::{RuleBook, WorkRank};
use crate::settings::{LocatorSettings, RouterSettings};

pub fn read_text(path: &Path) -> RouterResult<String> {
    fs::read_to_string(path).map_err(|cause| RouterError::File {
        path: path.to_owned(),
        cause,
    })
}

/// Parses a YAML document. Errors contain `file`, the line and the key.
pub fn parse_yaml<T: DeserializeOwned>(file: &str, text: &str) -> RouterResult<T> {
    yaml_serde::from_str(text).map_err(|cause| {
        let line = cause.location().map_or(0, |location| location.line());
        let line = line_of_value(text, line, &cause.to_string());
        RouterError::Document {
            file: file.to_owned(),
            line,
            field: field_at(text, line),
            problem: cause.to_string(),
        }
    })
}

/// Reads and parses the settings of a router.
pub fn open_router_settings(path: &Path) -> RouterResult<RouterSettings> {
    read_yaml(path)
}

/// Reads and parses the settings of a locator.
pub fn open_locator_settings(path: &Path) -> RouterResult<LocatorSettings> {
    read_yaml(path)
}

/// Reads, parses and validates a register.
pub fn open_register(path: &Path) -> RouterResult<AssetRegister> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let register = parse_yaml(&file, &text)?;
    check_register(&file, &text, &register)?;
    Ok(register)
}

/// Reads, parses and validates a rules document.
pub fn open_rules(path: &Path) -> RouterResult<RuleBook> {
    let text = read_text(path)?;
    let file = path.display().to_string();
    let rules = parse_yaml(&file, &text)?;
    check_rules(&file, &text, &rules)?;
    Ok(rules)
}

/// Validates the register and the rules of a bundle. A router calls it before it puts a revision in
/// force.
pub fn check_bundle(bundle: &ConfigBundle) -> RouterResult<()> {
    check_register("register", "", &bundle.register)?;
    check_rules("rules", "", &bundle.rules)
}

fn read_yaml<T: DeserializeOwned>(path: &Path) -> RouterResult<T> {
    let text = read_text(path)?;
    parse_yaml(&path.display().to_string(), &text)
}

/// Validates what the types of a register can't enforce: unique names and addresses, references to
/// known data centres and models, and ranges of values.
///
/// `file` and `text`, the document's source, serve to report faults with their line. `text` may be
/// empty; the line is then 0.
pub fn check_register(file: &str, text: &str, register: &AssetRegister) -> RouterResult<()> {
    let checker = DocumentChecker { file, text };
    let data_centers =
        checker.require_unique("data_centers", register.data_centers.iter().map(|d| &d.id))?;
    let named = register.data_centers.iter().map(|d| d.id.as_str());
    let named = named.chain(register.vms.iter().map(|vm| vm.id.as_str()));
    let named = named.chain(register.services.iter().map(|service| service.id.as_str()));
    let named = named.chain(register.accounts.iter().map(|account| account.id.as_str()));
    checker.require_plain("id", named)?;
    let models = checker.require_unique("models", register.models.iter().map(|m| &m.id))?;
    checker.require_unique("vms", register.vms.iter().map(|vm| &vm.id))?;
    checker.require_unique("engines", register.engines.iter().map(|e| &e.id))?;
    checker.require_unique("services", register.services.iter().map(|s| &s.id))?;
    checker.require_unique("accounts", register.accounts.iter().map(|a| &a.id))?;
    checker.require_unique(
        "token_digest",
        register.accounts.iter().map(|a| &a.token_digest),
    )?;
    checker.require_unique("address", register.engines.iter().map(|e| e.address))?;
    checker.require_unique(
        "vm address",
        register
            .vms
            .iter()
            .flat_map(|vm| [vm.entry, vm.peer, vm.locator]),
    )?;
    for vm in &register.vms {
        checker.require_known("data_center", &data_centers, &vm.data_center, &vm.id)?;
    }
    for engine in &register.engines {
        checker.require_known(
            "data_center",
            &data_centers,
            &engine.data_center,
            &engine.id,
        )?;
        checker.require_known("model", &models, &engine.model, &engine.id)?;
        checker.require(engine.slots > 0, "slots", &engine.id, "expected at least 1")?;
    }
    for service in &register.services {
        let has_address = !service.addresses.is_empty();
        checker.require(
            has_address,
            "addresses",
            &service.id,
            "expected at least one address",
        )?;
    }
    for account in &register.accounts {
        let digest = &account.token_digest;
        let is_hex_digest = digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit());
        checker.require(
            is_hex_digest,
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

/// Validates what the types of a rules document can't enforce, such as floors that add up to at
/// most 100%. `file` and `text` are as in [`check_register`].
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
        let floor_fits = rule.floor <= rule.share;
        checker.require(floor_fits, "floor", &rank, "expected at most the share")?;
        let wait_fits = rule.max_wait <= rule.deadline;
        checker.require(
            wait_fits,
            "max_wait",
            &rank,
            "expected at most the deadline",
        )?;
    }
    checker.require(
        rules.max_body.0 > 0,
        "max_body",
        "rules",
        "expected at least 1B",
    )?;
    let allows_tickets = rules.tickets_per_account > 0;
    checker.require(
        allows_tickets,
        "tickets_per_account",
        "rules",
        "expected at least 1",
    )
}

/// Checks the values of one document and reports a fault with its line.
struct DocumentChecker<'a> {
    file: &'a str,
    text: &'a str,
}

impl DocumentChecker<'_> {
    /// Returns the set of `items`, or an error if one occurs twice.
    fn require_unique<T>(
        &self,
        field: &str,
        items: impl Iterator<Item = T>,
    ) -> RouterResult<HashSet<T>>
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

    /// Checks that each of `ids` has only the characters of an identifier.
    fn require_plain<'a>(
        &self,
        field: &str,
        ids: impl Iterator<Item = &'a str>,
    ) -> RouterResult<()> {
        for id in ids {
            check_id(id).map_err(|error| self.fault(field, id, 1, &error.to_string()))?;
        }
        Ok(())
    }

    /// Checks that `item`, to which `owner` refers, is in the register.
    fn require_known<T: Eq + Hash + ToString, O: ToString>(
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
        condition: bool,
        field: &str,
        owner: &O,
        expected: &str,
    ) -> RouterResult<()> {
        if condition {
            return Ok(());
        }
        let owner = owner.to_string();
        Err(self.fault(field, &owner, 1, &format!("{owner}: {expected}")))
    }

    /// Builds an error for the `nth` line that contains `name`.
    fn fault(&self, field: &str, name: &str, nth: usize, problem: &str) -> RouterError {
        RouterError::Document {
            file: self.file.to_owned(),
            line: line_of(self.text, name, nth),
            field: field.to_owned(),
            problem: problem.to_owned(),
        }
    }
}

/// Returns the number of the `nth` line that contains `name` as a whole word, both counted from 1,
/// or 0 if there is none.
fn line_of(text: &str, name: &str, nth: usize) -> usize {
    let is_word_char = |c: char| c.is_alphanumeric() || "-_.:".contains(c);
    text.lines()
        .enumerate()
        .filter(|(_, line)| {
            line.split(|c| !is_word_char(c))
                .any(|word| word.trim_end_matches(':') == name)
        })
        .nth(nth - 1)
        .map_or(0, |(index, _)| index + 1)
}

/// Returns the first line at or after `line` with the value that the parser's message quotes, or
/// `line` if there is none. The parser reports a fault in a nested value at the start of the
/// enclosing mapping.
fn line_of_value(text: &str, line: usize, problem: &str) -> usize {
    let quoted = problem
        .split_once("found \"")
        .and_then(|(_, rest)| rest.split_once('"'));
    let Some((value, _)) = quoted else {
        return line;
    };
    let has_value = |text: &str| {
        let value_of =
            |(_, rest): (&str, &str)| rest.split('#').next().map(str::trim) == Some(value);
        text.split_once(':').is_some_and(value_of)
    };
    let start = line.saturating_sub(1);
    let found = text.lines().skip(start).position(has_value);
    found.map_or(line, |offset| start + offset + 1)
}

/// Returns the key on `line`, or `document` if the line has none.
fn field_at(text: &str, line: usize) -> String {
    line.checked_sub(1)
        .and_then(|index| text.lines().nth(index))
        .and_then(|line| line.split_once(':'))
        .map_or("document", |(key, _)| key.trim_start_matches([' ', '-']))
        .to_owned()
}
