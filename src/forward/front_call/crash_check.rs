//! Tells an upstream that crashed from a connection that broke.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::FrontCall;
use crate::dialect::EdgeDialect;
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::policy::call_attempts::AttemptFault;

/// Timeout of the connection attempt after a broken call. A VM whose process has ended refuses
/// within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl<D: EdgeDialect> FrontCall<D> {
    /// Returns whether the upstream crashed while it ran this call. If only the connection broke,
    /// the upstream still accepts others. Calls that no crash can be traced to are not checked:
    /// those whose answer was in progress, or whose prompt has no part that others may share.
    pub(super) async fn is_crash(&self, entry: &UpstreamEntry, fault: AttemptFault) -> bool {
        if fault != AttemptFault::Broken || self.is_sound || self.parts.is_empty() {
            return false;
        }
        let connect = timeout(CHECK_TIMEOUT, TcpStream::connect(entry.address)).await;
        let refused =
            matches!(connect, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused);
        if refused {
            self.state.telemetry.crashed_calls.inc();
            let parts: Vec<String> = self.parts.iter().map(ToString::to_string).collect();
            spdlog::info!("upstream-crashed", kv: {
                id: = self.request_id(), upstream: = entry.id, service: = self.service,
                parts: = parts.join(","), events: = self.reader.event_count()
            });
        }
        refused
    }
}
