//! Reports of a new configuration's items that are left out.

use super::ControlState;
use crate::fleet::store_view::{DocumentCodec, MAX_LOGGED_ENTRIES};
use crate::prometheus_metrics::set_count;
use crate::route::{ItemKind, RouteTable};

impl<C: DocumentCodec> ControlState<C> {
    /// Counts and logs the items of a new configuration that are left out.
    pub(super) fn report_unusable_items(&self, table: &RouteTable) {
        let items = table.unusable_items();
        for kind in ItemKind::ALL {
            let count = items.iter().filter(|item| item.kind == kind).count();
            let gauge = &self.telemetry.config_items_unusable;
            set_count(&gauge.with_label_values(&[kind.label()]), count);
        }
        for item in items.iter().take(MAX_LOGGED_ENTRIES) {
            spdlog::warn!("config-item-unusable", kv: {
                version: = table.version, kind: = item.kind.label(), item: = item.place,
                name: = item.name.as_deref().unwrap_or_default(), reason: = item.reason
            });
        }
    }
}
