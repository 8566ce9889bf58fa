//! A process of a test fleet, which ends with its handle.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Path of a binary of the product.
pub fn router_binary(name: &str) -> PathBuf {
    let router = PathBuf::from(env!("CARGO_BIN_EXE_hawthorn-router"));
    router.with_file_name(name)
}

/// Path of the stand-ins, which `.ci/test` builds beside the product.
pub fn standins_binary() -> PathBuf {
    let path = router_binary("standins");
    assert!(path.exists(), "build the stand-ins first: bash .ci/test");
    path
}

/// A running process; its log is in the test's work folder.
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

    /// Stops the process where it stands.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process has ended, and if so whether well.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child
            .try_wait()
            .expect("wait")
            .map(|status| status.success())
    }

    /// Kills the process at once.
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
