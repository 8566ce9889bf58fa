//! Stand-ins for the external systems that hawthornrouter talks to, one subcommand each.

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
    /// Stand-ins for the external systems that hawthornrouter talks to.
    cmd standins {
        /// Runs a model engine.
        cmd engine {
            /// Address to listen on.
            required --listen listen: SocketAddr
            /// Pause before each event, in milliseconds (default: 2).
            optional --event-ms event_ms: u64
        }
        /// Runs a service that records the calls it receives.
        cmd service {
            /// Address to listen on.
            required --listen listen: SocketAddr
        }
        /// Runs the configuration service.
        cmd config {
            /// Address to listen on.
            required --listen listen: SocketAddr
        }
        /// Runs the platform's VM list.
        cmd vms {
            /// Address to listen on.
            required --listen listen: SocketAddr
        }
        /// Runs a TCP relay that can stop forwarding.
        cmd relay {
            /// Address to accept connections on.
            required --listen listen: SocketAddr
            /// Address to forward connections to.
            required --to to: SocketAddr
            /// Address of the HTTP server that sets the mode.
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
        StandinsCmd::Engine(args) => run_in_system(async move || {
            engine::serve(args.listen, args.event_ms.unwrap_or(2))?.await?;
            Ok(())
        }),
        StandinsCmd::Service(args) => run_in_system(async move || {
            service::serve(args.listen)?.await?;
            Ok(())
        }),
        StandinsCmd::Config(args) => run_in_system(async move || {
            config_service::serve(args.listen)?.await?;
            Ok(())
        }),
        StandinsCmd::Vms(args) => run_in_system(async move || {
            vm_list::serve(args.listen)?.await?;
            Ok(())
        }),
        StandinsCmd::Relay(args) => {
            run_in_system(async move || relay::serve(args.listen, args.to, args.control).await)
        }
        StandinsCmd::Demo(_) => demo::run(),
    }
}

fn run_in_system(body: impl AsyncFnOnce() -> anyhow::Result<()> + 'static) -> anyhow::Result<()> {
    System::new("standin", DefaultRuntime).block_on(body())
}
