//! `hawthornctl pack REGISTER RULES --revision N --out DIR`: packs a configuration into the
//! manifest and the parts that the configuration service publishes.

use std::fs;
use std::path::Path;

use crate::bundle::{ConfigBundle, MANIFEST_KEY};
use crate::config;
use crate::error::{RouterError, RouterResult};
use crate::ids::RevisionNumber;

/// Packs a register and rules and writes the documents to the directory `out`.
pub fn run(
    register: &Path,
    rules: &Path,
    revision: RevisionNumber,
    out: &Path,
) -> RouterResult<()> {
    let bundle = ConfigBundle {
        revision,
        register: config::open_register(register)?,
        rules: config::open_rules(rules)?,
    };
    let packed = bundle.pack();
    write(
        out,
        MANIFEST_KEY,
        &serde_json::to_string(&packed.manifest).unwrap_or_default(),
    )?;
    for (digest, part) in &packed.parts {
        write(out, &digest.key(), part)?;
    }
    println!(
        "revision {revision}: {} parts in {}",
        packed.parts.len(),
        out.display()
    );
    Ok(())
}

fn write(out: &Path, key: &str, text: &str) -> RouterResult<()> {
    let path = out.join(key);
    let directory = path.parent().unwrap_or(out);
    let written = fs::create_dir_all(directory).and_then(|()| fs::write(&path, text));
    written.map_err(|cause| RouterError::File { path, cause })
}
