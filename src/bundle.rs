//! Packing a register and rules into the parts that the configuration service publishes.
//!
//! The manifest names every part with its digest and carries the one rising revision. Parts stay
//! near 16 KiB, so that a small change costs a small transfer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::{RouterError, RouterResult};
use crate::ids::RevisionNumber;
use crate::register::AssetRegister;
use crate::rules::RuleBook;

/// Size that a part is cut near, in bytes.
pub const TARGET_PART_BYTES: usize = 16 * 1024;

/// Key of the manifest in the configuration service.
pub const MANIFEST_KEY: &str = "manifest";

/// Register and rules of one revision.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigBundle {
    /// Number of this configuration.
    pub revision: RevisionNumber,
    /// The register.
    pub register: AssetRegister,
    /// The rules.
    pub rules: RuleBook,
}

/// Digest (BLAKE3, hexadecimal) of a part; also its name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PartDigest(pub String);

impl PartDigest {
    /// The digest of `text`.
    pub fn of(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()).to_hex().to_string())
    }

    /// Key of the part in the configuration service.
    pub fn key(&self) -> String {
        format!("part/{}", self.0)
    }
}

/// What the configuration service holds under [`MANIFEST_KEY`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigManifest {
    /// Number of this configuration.
    pub revision: RevisionNumber,
    /// The parts, in order.
    pub parts: Vec<PartDigest>,
}

/// Parts by digest.
pub type PartsByDigest = BTreeMap<PartDigest, String>;

/// A packed bundle: a manifest and its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct PackedBundle {
    /// The manifest.
    pub manifest: ConfigManifest,
    /// Every part that the manifest names.
    pub parts: PartsByDigest,
}

#[derive(Deserialize, Serialize)]
#[serde(tag = "kind", content = "value", rename_all = "snake_case")]
enum BundleRecord {
    Rules(Box<RuleBook>),
    DataCenter(crate::register::DataCenterEntry),
    Vm(crate::register::VmEntry),
    Model(crate::register::ModelEntry),
    Engine(crate::register::EngineEntry),
    Service(crate::register::ServiceEntry),
    Account(crate::register::AccountEntry),
}

impl ConfigBundle {
    /// Packs this bundle into parts.
    pub fn pack(&self) -> PackedBundle {
        let mut writer = PartWriter::default();
        writer.section(vec![BundleRecord::Rules(Box::new(self.rules.clone()))]);
        let register = self.register.clone();
        writer.section(
            register
                .data_centers
                .into_iter()
                .map(BundleRecord::DataCenter),
        );
        writer.section(register.vms.into_iter().map(BundleRecord::Vm));
        writer.section(register.models.into_iter().map(BundleRecord::Model));
        writer.section(register.engines.into_iter().map(BundleRecord::Engine));
        writer.section(register.services.into_iter().map(BundleRecord::Service));
        writer.section(register.accounts.into_iter().map(BundleRecord::Account));
        PackedBundle {
            manifest: ConfigManifest {
                revision: self.revision,
                parts: writer.order,
            },
            parts: writer.parts,
        }
    }
}

impl PackedBundle {
    /// Puts the bundle together again; every part must be there and match its digest.
    pub fn unpack(&self) -> RouterResult<ConfigBundle> {
        let mut rules = None;
        let mut register = AssetRegister {
            data_centers: Vec::new(),
            vms: Vec::new(),
            models: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            accounts: Vec::new(),
        };
        for digest in &self.manifest.parts {
            let text = self
                .parts
                .get(digest)
                .ok_or_else(|| fault(digest, 0, "missing"))?;
            if PartDigest::of(text) != *digest {
                return Err(fault(digest, 0, "digest does not match"));
            }
            for (index, line) in text.lines().enumerate() {
                let record = serde_json::from_str(line)
                    .map_err(|cause| fault(digest, index + 1, &cause.to_string()))?;
                match record {
                    BundleRecord::Rules(entry) => rules = Some(*entry),
                    BundleRecord::DataCenter(entry) => register.data_centers.push(entry),
                    BundleRecord::Vm(entry) => register.vms.push(entry),
                    BundleRecord::Model(entry) => register.models.push(entry),
                    BundleRecord::Engine(entry) => register.engines.push(entry),
                    BundleRecord::Service(entry) => register.services.push(entry),
                    BundleRecord::Account(entry) => register.accounts.push(entry),
                }
            }
        }
        let rules = rules.ok_or_else(|| RouterError::Document {
            file: MANIFEST_KEY.to_owned(),
            line: 0,
            field: "parts".to_owned(),
            problem: "no part holds the rules".to_owned(),
        })?;
        Ok(ConfigBundle {
            revision: self.manifest.revision,
            register,
            rules,
        })
    }
}

fn fault(digest: &PartDigest, line: usize, problem: &str) -> RouterError {
    RouterError::Document {
        file: digest.key(),
        line,
        field: "part".to_owned(),
        problem: problem.to_owned(),
    }
}

/// Cuts records into parts. A part ends where a record's hash says so, so that one changed record
/// changes one part and not all that follow.
#[derive(Default)]
struct PartWriter {
    order: Vec<PartDigest>,
    parts: PartsByDigest,
    open: String,
}

impl PartWriter {
    fn section(&mut self, records: impl IntoIterator<Item = BundleRecord>) {
        for record in records {
            // Serialising plain data to a string has no way to fail.
            let line = serde_json::to_string(&record).unwrap_or_default();
            self.open.push_str(&line);
            self.open.push('\n');
            if self.open.len() >= TARGET_PART_BYTES || self.is_boundary(&line) {
                self.close();
            }
        }
        self.close();
    }

    /// Whether a part that is at least half full may end after `line`.
    fn is_boundary(&self, line: &str) -> bool {
        let digest = xxhash_rust::xxh3::xxh3_64(line.as_bytes());
        self.open.len() >= TARGET_PART_BYTES / 2 && digest.is_multiple_of(16)
    }

    fn close(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let text = std::mem::take(&mut self.open);
        let digest = PartDigest::of(&text);
        self.order.push(digest.clone());
        self.parts.insert(digest, text);
    }
}
