//! Encodes a register and its rules as the parts that the configuration service publishes.
//!
//! The manifest lists the digest of every part and the revision, which increases with each
//! configuration. Parts are about 16 KiB long, so that a small change needs a small transfer.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::error::{RouterError, RouterResult};
use crate::ids::RevisionNumber;
use crate::register::AssetRegister;
use crate::rules::RuleBook;

/// Target length of a part, in bytes. A part ends at the latest with the record that reaches it.
pub const TARGET_PART_BYTES: usize = 16 * 1024;

/// Key of the manifest in the configuration service.
pub const MANIFEST_KEY: &str = "manifest";

/// The register and the rules of one revision.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigBundle {
    pub revision: RevisionNumber,
    pub register: AssetRegister,
    pub rules: RuleBook,
}

/// BLAKE3 digest of a part's text in hexadecimal, which also identifies the part.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct PartDigest(pub String);

impl PartDigest {
    pub fn of(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()).to_hex().to_string())
    }

    /// Returns the key of the part in the configuration service.
    pub fn key(&self) -> String {
        format!("part/{}", self.0)
    }
}

/// Lists the parts of a configuration; published under [`MANIFEST_KEY`].
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigManifest {
    pub revision: RevisionNumber,
    /// The digests of the parts, in the order in which they are decoded.
    pub parts: Vec<PartDigest>,
}

/// The text of each part, by its digest.
pub type PartsByDigest = BTreeMap<PartDigest, String>;

/// An encoded configuration: a manifest and its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct PackedBundle {
    pub manifest: ConfigManifest,
    /// Every part that the manifest names.
    pub parts: PartsByDigest,
}

/// One line of a part, encoded as JSON.
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
    /// Encodes this bundle as a manifest and parts.
    pub fn pack(&self) -> PackedBundle {
        let mut writer = PartWriter::default();
        writer.write_section(vec![BundleRecord::Rules(Box::new(self.rules.clone()))]);
        let register = self.register.clone();
        writer.write_section(
            register
                .data_centers
                .into_iter()
                .map(BundleRecord::DataCenter),
        );
        writer.write_section(register.vms.into_iter().map(BundleRecord::Vm));
        writer.write_section(register.models.into_iter().map(BundleRecord::Model));
        writer.write_section(register.engines.into_iter().map(BundleRecord::Engine));
        writer.write_section(register.services.into_iter().map(BundleRecord::Service));
        writer.write_section(register.accounts.into_iter().map(BundleRecord::Account));
        PackedBundle {
            manifest: ConfigManifest {
                revision: self.revision,
                parts: writer.digests,
            },
            parts: writer.parts,
        }
    }
}

impl PackedBundle {
    /// Decodes the bundle.
    ///
    /// Fails if a part is missing, does not match its digest or can't be parsed, or if no part
    /// contains the rules.
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
                .ok_or_else(|| part_error(digest, 0, "missing"))?;
            if PartDigest::of(text) != *digest {
                return Err(part_error(digest, 0, "digest does not match"));
            }
            for (index, line) in text.lines().enumerate() {
                let record = serde_json::from_str(line)
                    .map_err(|cause| part_error(digest, index + 1, &cause.to_string()))?;
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

fn part_error(digest: &PartDigest, line: usize, problem: &str) -> RouterError {
    RouterError::Document {
        file: digest.key(),
        line,
        field: "part".to_owned(),
        problem: problem.to_owned(),
    }
}

/// Splits records into parts. A boundary depends on the hash of the record before it
/// (content-defined chunking), so that a changed record changes its own part and not all parts
/// that follow.
#[derive(Default)]
struct PartWriter {
    digests: Vec<PartDigest>,
    parts: PartsByDigest,
    /// The text of the part that is being written.
    buffer: String,
}

impl PartWriter {
    fn write_section(&mut self, records: impl IntoIterator<Item = BundleRecord>) {
        for record in records {
            // Serialising plain data to a string can't fail.
            let line = serde_json::to_string(&record).unwrap_or_default();
            self.buffer.push_str(&line);
            self.buffer.push('\n');
            if self.buffer.len() >= TARGET_PART_BYTES || self.is_boundary(&line) {
                self.finish_part();
            }
        }
        self.finish_part();
    }

    /// Returns whether the part may end after `line`: it must be at least half full, and on
    /// average one record in 16 is a boundary.
    fn is_boundary(&self, line: &str) -> bool {
        let digest = xxhash_rust::xxh3::xxh3_64(line.as_bytes());
        self.buffer.len() >= TARGET_PART_BYTES / 2 && digest.is_multiple_of(16)
    }

    fn finish_part(&mut self) {
        if self.buffer.is_empty() {
            return;
        }
        let text = std::mem::take(&mut self.buffer);
        let digest = PartDigest::of(&text);
        self.digests.push(digest.clone());
        self.parts.insert(digest, text);
    }
}
