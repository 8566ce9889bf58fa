//! Processes of a test fleet, which are killed when their handle is dropped.

use std::cell::RefCell;
use std::fmt::Write;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

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

/// Number of lines of a log that a failure quotes.
const QUOTED_LINES: usize = 30;

/// A child process, which logs to `{name}.log` in the fleet's directory.
pub struct TestProcess {
    name: String,
    child: RefCell<Child>,
    log: PathBuf,
}

impl TestProcess {
    pub fn start(binary: &Path, args: &[String], dir: &Path, name: &str) -> Self {
        let log = dir.join(format!("{name}.log"));
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("log file");
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .spawn()
            .expect("process starts");
        Self {
            name: name.to_owned(),
            child: RefCell::new(child),
            log,
        }
    }

    fn id(&self) -> u32 {
        self.child.borrow().id()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id()).expect("process id");
        kill(Pid::from_raw(pid), signal).expect("signal");
    }

    fn exit_status(&self) -> Option<ExitStatus> {
        self.child.borrow_mut().try_wait().expect("wait")
    }

    /// Fails with the end of the log if the process has exited.
    pub fn assert_running(&self) {
        assert!(self.exit_status().is_none(), "{}", self.report());
    }

    /// Describes whether the process runs, with the end of its log.
    pub fn report(&self) -> String {
        let state = match self.exit_status() {
            Some(status) => format!("exited, {status}"),
            None => format!("process {} is in state {}", self.id(), self.kernel_state()),
        };
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let mut report = format!("{}: {state}", self.name);
        for line in &lines[lines.len().saturating_sub(QUOTED_LINES)..] {
            // Writing to a string can't fail.
            let _ = write!(report, "\n  {line}");
        }
        report
    }

    /// Returns the state as the kernel names it, such as `S` for sleeping and `T` for stopped.
    fn kernel_state(&self) -> String {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let state = status.lines().find_map(|line| line.strip_prefix("State:"));
        state.unwrap_or("unknown").trim().to_owned()
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
    pub fn exit_success(&self) -> Option<bool> {
        self.exit_status().map(|status| status.success())
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        let child = self.child.get_mut();
        let _ = child.kill();
        let _ = child.wait();
    }
}
