//! Records of the versions of streams, which routers tell each other.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use prost::Message;

use super::ControlState;
use crate::fleet::member_table::{MemberRecord, MemberStage};
use crate::fleet::store_view::DocumentCodec;
use crate::gossip::frames::{HeartbeatFrame, StreamColumns};
use crate::ids::StreamTag;
use crate::mono::MonoTime;
use crate::policy::stream_versions::{
    ASKED_HOLDERS, HOLDERS, MAX_MESSAGE_RECORDS, RecordHolder, StreamReport, choose_holders,
};
use crate::prometheus_metrics::set_count;

pub(super) fn holder_of(record: MemberRecord) -> RecordHolder {
    RecordHolder {
        address: record.address,
        data_center: record.data_center,
        is_leaving: record.stage == MemberStage::Leaving,
    }
}

impl<C: DocumentCodec> ControlState<C> {
    /// Publishes the software versions in use.
    pub(super) fn publish_versions(&self, now: MonoTime) {
        let history = self.store_view.history();
        let is_mixed = !self.covers_streams(now) || history.is_mixed(self.earliest_start(now));
        self.board.versions.store(history.clone().into());
        let mut streams = self.board.stream_versions();
        streams.remove_expired(now);
        if streams.has_unsent() {
            self.board.streams_changed.notify_one();
        }
        set_count(&self.telemetry.stream_records, streams.len());
        set_count(&self.telemetry.versions_mixed, u8::from(is_mixed));
    }

    /// Records that a datagram came from a router.
    pub fn record_heard(&self, sender: SocketAddr) {
        if let IpAddr::V4(address) = sender.ip() {
            self.board.stream_versions().record_heard(address);
        }
    }

    /// The routers that may have records. After a pause nothing is known of who is up, and those that
    /// were are asked.
    fn asked_routers(&self, now: MonoTime) -> Vec<RecordHolder> {
        if !self.was_paused(now) {
            return self.holders(now);
        }
        let known = self.members.known_records().into_iter();
        known.map(holder_of).collect()
    }

    pub(super) fn holders(&self, now: MonoTime) -> Vec<RecordHolder> {
        let own = self.members.own().address;
        let live = self.members.live(now).into_iter();
        live.filter(|record| record.address != own)
            .map(holder_of)
            .collect()
    }

    /// Returns the questions for records, each with the address of the router to send it to.
    pub fn take_stream_questions(&self) -> Vec<(Vec<u8>, SocketAddr)> {
        let questions = self.board.stream_versions().questions();
        if questions.is_empty() {
            return Vec::new();
        }
        let now = self.now();
        let mut holders = self.asked_routers(now);
        let mut streams = self.board.stream_versions();
        let has_peers = !holders.is_empty();
        holders.retain(|holder| !streams.is_silent(holder.address, now));
        let is_cut_off = has_peers && holders.is_empty();
        let mut asked: BTreeMap<Ipv4Addr, Vec<StreamTag>> = BTreeMap::new();
        for stream in questions {
            let chosen = choose_holders(stream, &holders, ASKED_HOLDERS);
            streams.set_asked(stream, chosen.len());
            if is_cut_off {
                streams.set_cut_off(stream);
            }
            for address in chosen {
                streams.record_asked(address, now);
                asked.entry(address).or_default().push(stream);
            }
        }
        drop(streams);
        if asked.is_empty() {
            self.count_merged_streams();
        }
        let messages = asked.iter().flat_map(|(&address, streams)| {
            streams.chunks(MAX_MESSAGE_RECORDS).map(move |streams| {
                let columns = StreamColumns {
                    asked: streams.iter().map(|stream| stream.0).collect(),
                    ..StreamColumns::default()
                };
                (address, columns)
            })
        });
        self.encode_streams(messages)
    }

    /// Returns the records that their holders lack, each with the address of the router to send it to.
    pub fn take_stream_records(&self) -> Vec<(Vec<u8>, SocketAddr)> {
        let now = self.now();
        let holders = self.holders(now);
        // Without holders, records wait for some.
        if holders.is_empty() {
            return Vec::new();
        }
        let records = self.board.stream_versions().take_unsent();
        let mut held: BTreeMap<Ipv4Addr, Vec<StreamReport>> = BTreeMap::new();
        for record in records {
            for address in choose_holders(record.stream, &holders, HOLDERS) {
                held.entry(address).or_default().push(record);
            }
        }
        let messages = held.iter().flat_map(|(&address, records)| {
            let parts = records.chunks(MAX_MESSAGE_RECORDS);
            parts.map(move |records| (address, StreamColumns::new(records, now)))
        });
        self.encode_streams(messages)
    }

    fn encode_streams<I>(&self, messages: I) -> Vec<(Vec<u8>, SocketAddr)>
    where
        I: Iterator<Item = (Ipv4Addr, StreamColumns)>,
    {
        messages
            .map(|(address, columns)| {
                let frame = HeartbeatFrame::with_streams(columns);
                (frame.encode_to_vec(), self.gossip_address(address))
            })
            .collect()
    }

    /// Merges a message about streams. Returns the answer to the questions in it, if there are any.
    pub(super) fn merge_streams(&self, columns: &StreamColumns, now: MonoTime) -> Option<Vec<u8>> {
        let mut streams = self.board.stream_versions();
        for report in columns.reports(now) {
            streams.merge(report);
        }
        for &stream in &columns.missing {
            streams.record_missing(StreamTag(stream));
        }
        let mut known = Vec::new();
        let mut missing = Vec::new();
        for &stream in columns.asked.iter().take(MAX_MESSAGE_RECORDS) {
            match streams.report(StreamTag(stream), now) {
                Some(report) => known.push(report),
                None => missing.push(stream),
            }
        }
        drop(streams);
        self.count_merged_streams();
        if columns.asked.is_empty() {
            return None;
        }
        let columns = StreamColumns {
            missing,
            ..StreamColumns::new(&known, now)
        };
        Some(HeartbeatFrame::with_streams(columns).encode_to_vec())
    }

    /// Has the calls that wait for a record or a check look again.
    pub(super) fn count_merged_streams(&self) {
        self.board.streams_merged.send_modify(|count| *count += 1);
    }
}
