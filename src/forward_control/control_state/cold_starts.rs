//! What the control thread tells the traffic thread and other routers about cold upstreams.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use super::ControlState;
use crate::fleet::member_table::MemberRecord;
use crate::fleet::store_view::{DocumentCodec, MAX_LOGGED_ENTRIES};
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::gossip::frames::ColdColumns;
use crate::mono::MonoTime;
use crate::policy::cold_upstreams::ColdChange;
use crate::policy::locate_choice::RouterPlace;
use crate::prometheus_metrics::set_count;
use crate::route::RouteTable;

impl<C: DocumentCodec> ControlState<C> {
    /// Compares the entries with those before, to find upstreams that have started.
    pub(super) fn observe_cold(&self, upstreams: &[Arc<UpstreamEntry>], now: MonoTime) {
        let Some(table) = self.board.routes.load_full() else {
            return;
        };
        let entries = upstreams.iter().filter_map(|entry| {
            let terms = table.service(&entry.service)?.cold?;
            Some((&**entry, terms))
        });
        let is_complete = self.store_role.age(now).is_some();
        let unix_now = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_now = unix_now.unwrap_or(Duration::ZERO);
        let mut cold = self.board.cold_upstreams();
        cold.observe(entries, is_complete, now, unix_now);
    }

    /// Counts and logs the services of a new configuration whose cold terms are left out.
    pub(super) fn report_cold_faults(&self, table: &RouteTable) {
        let faults = table.cold_faults();
        self.telemetry.cold_ignored.inc_by(faults.len() as u64);
        for (service, fault) in faults.iter().take(MAX_LOGGED_ENTRIES) {
            spdlog::warn!("cold-terms-ignored", kv: {
                version: = table.version, service: = service, reason: = fault
            });
        }
    }

    /// Merges the cold upstreams of another router's heartbeat.
    pub(super) fn merge_cold(&self, columns: Option<&ColdColumns>, now: MonoTime) {
        if let Some(columns) = columns {
            let mut cold = self.board.cold_upstreams();
            for report in columns.reports(now) {
                cold.merge(report, now);
            }
        }
    }

    /// Publishes the routers that were up lately, among which the rates of cold upstreams are shared.
    pub(super) fn publish_known(&mut self, live: &[MemberRecord], fleet: usize, now: MonoTime) {
        let own = self.members.own().address;
        let live: Vec<RouterPlace> = live
            .iter()
            .map(|record| RouterPlace {
                address: record.address,
                data_center: record.data_center,
            })
            .collect();
        self.known_routers.record(own, &live, now);
        self.board
            .set_contact(self.known_routers.contact(own, fleet, now));
        let routers = self.known_routers.places();
        self.board.cold_upstreams().set_routers(own, routers);
    }

    /// Announces reports again and logs which upstreams are cold or no longer so.
    pub(super) fn update_cold(&self, now: MonoTime) {
        self.observe_cold(&self.board.upstreams.load(), now);
        let mut cold = self.board.cold_upstreams();
        if cold.is_empty() {
            return;
        }
        let changes = cold.tick(now);
        set_count(&self.telemetry.upstreams_cold, cold.cold(now));
        self.telemetry.cold_ignored.inc_by(cold.take_ignored());
        drop(cold);
        if changes.len() > MAX_LOGGED_ENTRIES {
            spdlog::info!("upstreams-cold", kv: { changes: = changes.len() });
        }
        for change in changes.iter().take(MAX_LOGGED_ENTRIES) {
            match change {
                ColdChange::Begun(id, cause, span) => spdlog::info!("upstream-cold", kv: {
                    upstream: = id, cause: = cause.label(), ms: = span.as_millis()
                }),
                ColdChange::Ended(id) => spdlog::info!("upstream-warm", kv: { upstream: = id }),
                ColdChange::Ignored(id) => spdlog::warn!("cold-time-ignored", kv: {
                    upstream: = id
                }),
            }
        }
    }
}
