//! `hawthornctl`: one module a command.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::cmd::{check, diff, drain, explain, pack, status, trace};
use crate::error::RouterResult;
use crate::ids::{ChatId, ModelId, RevisionNumber};

xflags::xflags! {
    /// Checks and packs configurations; asks routers and drains them.
    cmd hawthornctl {
        /// Print the version.
        optional --version
        /// Check settings, registers and rules without starting anything.
        cmd check {
            /// Files to check.
            repeated files: PathBuf
        }
        /// Pack a register and rules into what the configuration service publishes.
        cmd pack {
            /// Register (YAML).
            required register: PathBuf
            /// Rules (YAML).
            required rules: PathBuf
            /// Number of this configuration.
            required --revision revision: RevisionNumber
            /// Folder that the manifest and the parts are written to.
            required --out out: PathBuf
        }
        /// Show what differs between two registers.
        cmd diff {
            /// Register before.
            required before: PathBuf
            /// Register after.
            required after: PathBuf
        }
        /// Show what a router is doing.
        cmd status {
            /// Its admin address.
            required admin: SocketAddr
            /// File with an administration token.
            required --token token: PathBuf
        }
        /// Show where a chat would go, and why.
        cmd explain {
            /// The router's admin address.
            required admin: SocketAddr
            /// File with an administration token.
            required --token token: PathBuf
            /// The model.
            required --model model: ModelId
            /// The chat.
            required --chat chat: ChatId
        }
        /// Tell the story of one request from routers' logs.
        cmd trace {
            /// The request's id.
            required id: String
            /// Log files.
            repeated files: PathBuf
            /// Print JSON, a line an event.
            optional --json
        }
        /// Have a router finish its work and stop.
        cmd drain {
            /// Its admin address.
            required admin: SocketAddr
            /// File with an administration token.
            required --token token: PathBuf
        }
    }
}

/// Reads the command line and runs the command.
pub fn dispatch() -> RouterResult<()> {
    match Hawthornctl::from_env_or_exit().subcommand {
        HawthornctlCmd::Check(args) => check::run(&args.files),
        HawthornctlCmd::Pack(args) => {
            pack::run(&args.register, &args.rules, args.revision, &args.out)
        }
        HawthornctlCmd::Diff(args) => diff::run(&args.before, &args.after),
        HawthornctlCmd::Status(args) => status::run(args.admin, &args.token),
        HawthornctlCmd::Explain(args) => {
            explain::run(args.admin, &args.token, &args.model, &args.chat)
        }
        HawthornctlCmd::Trace(args) => trace::run(&args.id, args.json, &args.files),
        HawthornctlCmd::Drain(args) => drain::run(args.admin, &args.token),
    }
}
