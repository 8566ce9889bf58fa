//! Small stand-ins for the systems that hawthornrouter meets, one subcommand each.

mod config_service;
mod demo;
mod engine;
mod relay;
mod service;
mod vm_list;

use std::net::SocketAddr;
use std::process::ExitCode;

use ntex::rt::{DefaultRuntime, System};

xflags::xflags! {
    /// Small stand-ins for the systems that hawthornrouter meets.
    cmd standins {
        /// A model engine.
        cmd engine {
            /// Where it answers.
            required --listen listen: SocketAddr
            /// Pause between two events, in milliseconds.
            optional --event-ms event_ms: u64
        }
        /// A plain service whose calls are written down.
        cmd service {
            /// Where it answers.
            required --listen listen: SocketAddr
        }
        /// The configuration service.
        cmd config {
            /// Where it answers.
            required --listen listen: SocketAddr
        }
        /// The platform's list of VMs.
        cmd vms {
            /// Where it answers.
            required --listen listen: SocketAddr
        }
        /// A relay that can go silent.
        cmd relay {
            /// Where it takes connections.
            required --listen listen: SocketAddr
            /// Where it passes them on.
            required --to to: SocketAddr
            /// Where its mode is set.
            required --control control: SocketAddr
        }
        /// Runs a whole fleet in one process and serves a few requests.
        cmd demo {}
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    match Standins::from_env_or_exit().subcommand {
        StandinsCmd::Engine(args) => in_system(async move || {
            engine::serve(args.listen, args.event_ms.unwrap_or(2))?.await?;
            Ok(())
        }),
        StandinsCmd::Service(args) => in_system(async move || {
            service::serve(args.listen)?.await?;
            Ok(())
        }),
        StandinsCmd::Config(args) => in_system(async move || {
            config_service::serve(args.listen)?.await?;
            Ok(())
        }),
        StandinsCmd::Vms(args) => in_system(async move || {
            vm_list::serve(args.listen)?.await?;
            Ok(())
        }),
        StandinsCmd::Relay(args) => {
            in_system(async move || relay::serve(args.listen, args.to, args.control).await)
        }
        StandinsCmd::Demo(_) => demo::run(),
    }
}

fn in_system(body: impl AsyncFnOnce() -> anyhow::Result<()> + 'static) -> anyhow::Result<()> {
    System::new("standin", DefaultRuntime).block_on(body())
}
