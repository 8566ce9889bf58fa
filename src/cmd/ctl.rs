//! Command line of `hawthornctl`. Each command has a module of its own.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::cmd::{check, choice, diff, drain, explain, pack, status, trace};
use crate::error::RouterResult;
use crate::ids::{ChatId, ModelId, RevisionNumber, ServiceId};

xflags::xflags! {
    /// Validates and packs configurations; inspects and drains routers.
    cmd hawthornctl {
        /// Print the version.
        optional --version
        /// Validate settings, registers and rules without starting a process.
        cmd check {
            /// Files to validate (YAML).
            repeated files: PathBuf
        }
        /// Pack a register and rules into the documents that the configuration service publishes.
        cmd pack {
            /// Register (YAML).
            required register: PathBuf
            /// Rules (YAML).
            required rules: PathBuf
            /// Revision number of this configuration.
            required --revision revision: RevisionNumber
            /// Directory to write the manifest and the parts to.
            required --out out: PathBuf
        }
        /// Show the differences between two registers.
        cmd diff {
            /// Old register (YAML).
            required before: PathBuf
            /// New register (YAML).
            required after: PathBuf
        }
        /// Show the status of a router.
        cmd status {
            /// Address of the router's administration API (IP:PORT).
            required admin: SocketAddr
            /// File with an administration token.
            required --token token: PathBuf
        }
        /// Show the engines that a chat may be routed to, with their states.
        cmd explain {
            /// Address of the router's administration API (IP:PORT).
            required admin: SocketAddr
            /// File with an administration token.
            required --token token: PathBuf
            /// Name of the model.
            required --model model: ModelId
            /// Id of the chat.
            required --chat chat: ChatId
        }
        /// Show where a call would go now, and why. Nothing is sent to an upstream.
        cmd choice {
            /// Address of the router's metrics listener (IP:PORT).
            required listener: SocketAddr
            /// Name of the service.
            required --service service: ServiceId
            /// Parts of the prompt, as callers send them.
            optional --prompt prompt: String
        }
        /// Show the log lines of one request from several routers, in order of time.
        cmd trace {
            /// Id of the request.
            required id: String
            /// Log files of the routers.
            repeated files: PathBuf
            /// Print one JSON object per log line.
            optional --json
        }
        /// Drain a router: it finishes its work and stops.
        cmd drain {
            /// Address of the router's administration API (IP:PORT).
            required admin: SocketAddr
            /// File with an administration token.
            required --token token: PathBuf
        }
    }
}

/// Parses the command line and runs the command.
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
        HawthornctlCmd::Choice(args) => choice::run(args.listener, args.service, args.prompt),
        HawthornctlCmd::Trace(args) => trace::run(&args.id, args.json, &args.files),
        HawthornctlCmd::Drain(args) => drain::run(args.admin, &args.token),
    }
}
