//! Processes of a test fleet, which are killed when their handle is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Returns the path of one of the router package's binaries.
pub fn router_binary(name: &str) -> PathBuf {
    let router = PathBuf::from(env!("CARGO_BIN_EXE_hawthorn-router"));
    router.with_file_name(name)
}

/// Returns the path of the stand-ins, which `.ci/test` builds into the router's directory.
pub fn standins_binary() -> PathBuf {
    let path = router_binary("standins");
    assert!(path.exists(), "build the stand-ins first: bash .ci/test");
    path
}

/// A child process, which logs to `{name}.log` in the fleet's directory.
pub struct TestProcess {
    child: Child,
}

impl TestProcess {
    pub fn start(binary: &Path, args: &[String], dir: &Path, name: &str) -> Self {
        let log = dir.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log file");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("process starts");
        Self { child }
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("process id");
        kill(Pid::from_raw(pid), signal).expect("signal");
    }

    /// Stops the process with SIGSTOP. Its connections stay open.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Continues a stopped process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM, after which the process shuts down gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Returns whether the process exited successfully, or `None` while it is running.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .expect("wait")
            .map(|status| status.success())
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
