//! Metrics of a router, sent as gauges in the `StatsD` format over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};

use crate::board::{LifeStage, StatusSection};
use crate::error::{RouterError, RouterResult, StepName};
use crate::fleet::upstream_view::UpstreamState;
use crate::rules::WorkRank;

/// Prefix of every metric.
const PREFIX: &str = "hawthorn.router";

/// Sends metrics to the receiver in the settings, or does nothing if there is none.
pub struct StatsdMetrics {
    client: Option<StatsdClient>,
}

impl StatsdMetrics {
    /// Opens a socket for metrics to `receiver`. Without a receiver nothing is sent.
    pub fn open(receiver: Option<SocketAddr>) -> RouterResult<Self> {
        let Some(receiver) = receiver else {
            return Ok(Self { client: None });
        };
        let listen_error =
            |error: std::io::Error| RouterError::step(StepName::Listen, receiver, error);
        let socket = UdpSocket::bind("0.0.0.0:0").map_err(listen_error)?;
        socket.set_nonblocking(true).map_err(listen_error)?;
        let sink = BufferedUdpMetricSink::from(receiver, socket)
            .map_err(|error| RouterError::step(StepName::Listen, receiver, error))?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self {
            client: Some(client),
        })
    }

    /// Sends the values of `status` as gauges.
    pub fn send_status(&self, status: &StatusSection) {
        let Some(client) = &self.client else { return };
        let is_open = |state: UpstreamState| state == UpstreamState::Open;
        let engines_open = status
            .upstreams
            .iter()
            .filter(|engine| is_open(engine.state))
            .count();
        let peers_up = status.peers.iter().filter(|peer| peer.answers).count();
        let gauge = |name: &str, value: u64| {
            // Metrics are best effort: a failed send is ignored.
            let _ = client.gauge(name, value);
        };
        gauge("serving", u64::from(status.stage == LifeStage::Serving));
        gauge("revision", status.revision.0);
        gauge(
            "config.rejected",
            status.rejected.as_ref().map_or(0, |r| r.revision.0),
        );
        gauge("running", status.running);
        gauge("engines.open", engines_open as u64);
        gauge("engines.known", status.upstreams.len() as u64);
        gauge("peers.up", peers_up as u64);
        gauge("ledger.entries", status.ledger);
        gauge("ledger.held", status.handed_ledgers);
        gauge("pauses", status.pauses);
        for rank in WorkRank::ALL {
            gauge(
                &format!("waiting.{rank}"),
                u64::from(status.waiting[rank.index()]),
            );
        }
    }
}
