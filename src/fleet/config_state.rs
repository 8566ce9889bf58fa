//! Decides which configuration is in force. A new one replaces it only if it is complete, valid and
//! has a higher revision.

use std::sync::Arc;

use crate::bundle::{ConfigBundle, ConfigManifest, PackedBundle, PartDigest, PartsByDigest};
use crate::config::check_bundle;
use crate::ids::RevisionNumber;

/// What to do with a manifest received from the configuration service or a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ManifestVerdict {
    /// Nothing: it is the manifest in force or an older one.
    Known,
    /// Fetch these parts, which are missing here, then call [`ConfigState::complete`].
    Fetch(Vec<PartDigest>),
    /// Nothing: it reuses the revision in force for different content, or was rejected before.
    Rejected,
}

/// A configuration revision that was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RejectedRevision {
    pub revision: RevisionNumber,
    /// The validation error, for operators.
    pub reason: String,
}

/// A configuration in force.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    /// The decoded register and rules.
    pub bundle: Arc<ConfigBundle>,
    /// The encoded form that is sent to peers.
    pub packed: Arc<PackedBundle>,
}

/// The configuration in force and the last one that was rejected.
#[derive(Debug, Default)]
pub struct ConfigState {
    accepted: Option<AcceptedConfig>,
    rejected: Option<RejectedRevision>,
    /// The manifest that was rejected last, so that it is not fetched again.
    rejected_manifest: Option<ConfigManifest>,
}

impl ConfigState {
    /// The configuration in force, or `None` before the first one.
    pub fn accepted(&self) -> Option<&AcceptedConfig> {
        self.accepted.as_ref()
    }

    /// The revision in force, or zero before the first one.
    pub fn revision(&self) -> RevisionNumber {
        self.accepted
            .as_ref()
            .map_or(RevisionNumber::default(), |config| config.bundle.revision)
    }

    /// The last revision that was rejected, or `None` if there was none.
    pub fn rejected(&self) -> Option<&RejectedRevision> {
        self.rejected.as_ref()
    }

    /// Compares a manifest from the configuration service or a peer with the one in force.
    pub fn consider(&mut self, manifest: &ConfigManifest) -> ManifestVerdict {
        if self.rejected_manifest.as_ref() == Some(manifest) {
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

    /// Puts a manifest and its fetched parts in force if they are complete, valid and newer;
    /// returns whether it did.
    ///
    /// A revision with missing or damaged parts is not recorded as rejected, because another source
    /// may still supply them.
    pub fn complete(&mut self, manifest: &ConfigManifest, mut fetched: PartsByDigest) -> bool {
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

    fn add_known_parts(&self, manifest: &ConfigManifest, parts: &mut PartsByDigest) {
        let Some(accepted) = &self.accepted else {
            return;
        };
        let known = &accepted.packed.parts;
        let reused = manifest
            .parts
            .iter()
            .filter_map(|part| known.get_key_value(part));
        parts.extend(reused.map(|(digest, text)| (digest.clone(), text.clone())));
    }

    fn reject(&mut self, manifest: &ConfigManifest, reason: String) {
        self.rejected = Some(RejectedRevision {
            revision: manifest.revision,
            reason,
        });
        self.rejected_manifest = Some(manifest.clone());
    }
}

fn assemble(manifest: &ConfigManifest, mut parts: PartsByDigest) -> Result<AcceptedConfig, String> {
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
