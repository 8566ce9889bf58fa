//! Takes a configuration only whole, valid and newer.

use std::sync::Arc;

use crate::bundle::{ConfigBundle, ConfigManifest, PackedBundle, PartDigest, PartStore};
use crate::config::check_bundle;
use crate::ids::RevisionNumber;

/// What to do about a manifest that was offered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ManifestVerdict {
    /// It is the one in force, or older.
    Known,
    /// Fetch these parts, then complete it.
    Fetch(Vec<PartDigest>),
    /// It has the revision in force and other content, or was refused before.
    Rejected,
}

/// A revision that was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RejectedRevision {
    /// Its number.
    pub revision: RevisionNumber,
    /// Why it was refused.
    pub reason: String,
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    /// Register and rules.
    pub bundle: Arc<ConfigBundle>,
    /// The form in which it is passed on.
    pub packed: Arc<PackedBundle>,
}

/// The configuration in force and the last one that was refused.
#[derive(Debug, Default)]
pub struct ConfigState {
    accepted: Option<AcceptedConfig>,
    rejected: Option<RejectedRevision>,
    /// The manifest that was refused, so that it is not fetched again and again.
    refused: Option<ConfigManifest>,
}

impl ConfigState {
    /// The configuration in force.
    pub fn accepted(&self) -> Option<&AcceptedConfig> {
        self.accepted.as_ref()
    }

    /// The number in force, zero for none.
    pub fn revision(&self) -> RevisionNumber {
        self.accepted
            .as_ref()
            .map_or(RevisionNumber::default(), |config| config.bundle.revision)
    }

    /// The last revision that was refused.
    pub fn rejected(&self) -> Option<&RejectedRevision> {
        self.rejected.as_ref()
    }

    /// Judges a manifest from the service or a peer.
    pub fn consider(&mut self, manifest: &ConfigManifest) -> ManifestVerdict {
        if self.refused.as_ref() == Some(manifest) {
            return ManifestVerdict::Rejected;
        }
        let Some(accepted) = &self.accepted else {
            return ManifestVerdict::Fetch(manifest.parts.clone());
        };
        if manifest.revision < accepted.bundle.revision {
            return ManifestVerdict::Known;
        }
        if manifest.revision == accepted.bundle.revision {
            if *manifest == accepted.packed.manifest {
                return ManifestVerdict::Known;
            }
            self.reject(
                manifest,
                "the revision in force has other content".to_owned(),
            );
            return ManifestVerdict::Rejected;
        }
        let known = &accepted.packed.parts;
        let missing = manifest
            .parts
            .iter()
            .filter(|part| !known.contains_key(part));
        ManifestVerdict::Fetch(missing.cloned().collect())
    }

    /// Puts a manifest and its fetched parts in force, if they are whole, valid and newer.
    ///
    /// Parts that are missing or damaged may come from another source, so they refuse nothing.
    pub fn complete(&mut self, manifest: &ConfigManifest, mut fetched: PartStore) -> bool {
        if self.accepted.is_some() && manifest.revision <= self.revision() {
            return false;
        }
        fetched.retain(|digest, text| PartDigest::of(text) == *digest);
        self.add_known_parts(manifest, &mut fetched);
        if manifest
            .parts
            .iter()
            .any(|part| !fetched.contains_key(part))
        {
            return false;
        }
        match assemble(manifest, fetched) {
            Ok(config) => {
                self.accepted = Some(config);
                true
            }
            Err(reason) => {
                self.reject(manifest, reason);
                false
            }
        }
    }

    fn add_known_parts(&self, manifest: &ConfigManifest, parts: &mut PartStore) {
        let Some(accepted) = &self.accepted else {
            return;
        };
        let known = &accepted.packed.parts;
        let kept = manifest
            .parts
            .iter()
            .filter_map(|part| known.get_key_value(part));
        parts.extend(kept.map(|(digest, text)| (digest.clone(), text.clone())));
    }

    fn reject(&mut self, manifest: &ConfigManifest, reason: String) {
        self.rejected = Some(RejectedRevision {
            revision: manifest.revision,
            reason,
        });
        self.refused = Some(manifest.clone());
    }
}

fn assemble(manifest: &ConfigManifest, mut parts: PartStore) -> Result<AcceptedConfig, String> {
    parts.retain(|digest, _| manifest.parts.contains(digest));
    let packed = PackedBundle {
        manifest: manifest.clone(),
        parts,
    };
    let bundle = packed.unpack().map_err(|error| error.to_string())?;
    check_bundle(&bundle).map_err(|error| error.to_string())?;
    Ok(AcceptedConfig {
        bundle: Arc::new(bundle),
        packed: Arc::new(packed),
    })
}
