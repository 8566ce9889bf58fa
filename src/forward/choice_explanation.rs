//! Explains where a call would go now, without sending anything or counting a call.

use std::sync::Arc;

use form_urlencoded::byte_serialize;
use serde::{Deserialize, Serialize};

use crate::dialect::{EdgeDialect, PromptPrefix};
use crate::fleet::upstream_entry::UpstreamEntry;
use crate::forward::traffic_state::TrafficState;
use crate::ids::{DataCenterId, ServiceId, UpstreamId};
use crate::policy::upstream_choice::{
    Eligibility, SharedPart, UpstreamCandidate, choose_upstream, preference_order,
};
use crate::policy::upstream_gate::{GateReason, UpstreamGate};
use crate::route::RouteTable;

/// Path at which the listeners for operators answer, with the query of a [`ChoiceQuestion`].
pub const CHOICE_PATH: &str = "/choice";

/// Maximum length of the query, which bounds the work for one question.
const MAX_QUERY_BYTES: usize = 4096;

/// A call whose choice is to be explained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChoiceQuestion {
    pub service: ServiceId,
    /// The parts of the prompt, as the dialect writes them; empty if there are none.
    pub prompt: String,
}

impl ChoiceQuestion {
    /// Writes the question as path and query. Returns `None` if the prompt has characters that no list
    /// of parts has.
    pub fn target(&self) -> Option<String> {
        let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b":,.-_".contains(&byte);
        let service: String = byte_serialize(self.service.as_str().as_bytes()).collect();
        let target = format!("{CHOICE_PATH}?service={service}&prompt={}", self.prompt);
        let is_short = target.len() <= MAX_QUERY_BYTES;
        (is_short && self.prompt.bytes().all(is_plain)).then_some(target)
    }

    /// Reads the query of a question.
    pub fn read(query: &str) -> Option<Self> {
        if query.len() > MAX_QUERY_BYTES {
            return None;
        }
        let field = |name: &str| {
            let mut pairs = form_urlencoded::parse(query.as_bytes());
            pairs.find_map(|(key, value)| (key == name).then(|| value.into_owned()))
        };
        let service = field("service")?;
        if service.is_empty() || service.contains(char::is_control) {
            return None;
        }
        Some(Self {
            service: service.parse().ok()?,
            prompt: field("prompt").unwrap_or_default(),
        })
    }
}

/// One upstream of the service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CandidateReport {
    pub upstream: UpstreamId,
    pub data_center: DataCenterId,
    /// Place in the order of preference by the prompt, from 1 on; `None` without a prompt.
    pub preference: Option<usize>,
    pub slots: u32,
    /// Estimated number of calls from all routers.
    pub load: f64,
    /// Calls of this router.
    pub own_calls: u32,
    /// Whether the load follows from a recent report.
    pub is_reported: bool,
    /// Whether the upstream may be chosen, or the reason why not.
    pub state: String,
    /// Milliseconds after which the upstream may be chosen, if it has named them or its limit does.
    pub wait_ms: Option<u64>,
}

/// Where a call would go now, and why.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChoiceReport {
    pub stage: String,
    pub service: ServiceId,
    /// The upstream that would get the call. Among equals it is drawn at random.
    pub chosen: Option<UpstreamId>,
    /// Milliseconds after which the caller would be told to return, if all upstreams are closed to it.
    pub retry_after_ms: Option<u64>,
    /// The load bound is this multiple of the mean load per slot, times the slots, plus the slack.
    pub bound_multiple: f64,
    pub bound_slack: f64,
    pub candidates: Vec<CandidateReport>,
}

fn eligibility_label(eligibility: Eligibility) -> &'static str {
    match eligibility {
        Eligibility::Open => "open",
        Eligibility::Suspect => "suspect",
        Eligibility::LastResort => "last-resort",
        // No other condition rules an upstream out for a call without attempts.
        Eligibility::Excluded => GateReason::Connections.label(),
    }
}

fn wait_ms(reason: GateReason) -> Option<u64> {
    match reason {
        GateReason::Declining(wait) | GateReason::Limited(Some(wait)) => {
            Some(wait.as_millis() as u64)
        }
        _ => None,
    }
}

impl<D: EdgeDialect> TrafficState<D> {
    /// Returns where a call of `service` would go now.
    pub fn explain_choice(
        &self,
        table: &RouteTable,
        service: &ServiceId,
        prompt: Option<PromptPrefix>,
    ) -> ChoiceReport {
        let upstreams = self.board.upstreams.load();
        let entries = upstreams.iter();
        let members: Vec<&Arc<UpstreamEntry>> =
            entries.filter(|entry| entry.service == *service).collect();
        let candidates = self.candidates(table, service, &members, &[], &[]);
        let bound = self.board.settings.load().affinity_bound;
        let shared_part = prompt.map(|prefix| SharedPart {
            prompt: prefix.hash,
            open_calls: self.open_calls(prefix.hash),
        });
        let chosen = choose_upstream(&candidates, shared_part, bound, self.draw());
        let order = prompt.map(|prefix| preference_order(&candidates, prefix.hash));
        let retry_after = chosen.map_or_else(|| self.declined_wait(service), |_| None);
        let gates = (
            self.evacuation_gate(),
            (self.statement_gate(), self.rate_gate()),
        );
        let report = |(index, entry): (usize, &&Arc<UpstreamEntry>)| {
            let candidate: &UpstreamCandidate = &candidates[index];
            let reason = gates.check(entry);
            let state = reason.map_or_else(
                || eligibility_label(candidate.eligibility),
                GateReason::label,
            );
            let place = order.as_ref().and_then(|order| {
                let place = order.iter().position(|&other| other == index);
                place.map(|place| place + 1)
            });
            CandidateReport {
                upstream: entry.id.clone(),
                data_center: entry.data_center.clone(),
                preference: place,
                slots: candidate.slots,
                load: candidate.load,
                own_calls: candidate.own_calls,
                is_reported: candidate.is_reported,
                state: state.to_owned(),
                wait_ms: reason.and_then(wait_ms),
            }
        };
        ChoiceReport {
            stage: self.board.stage().label().to_owned(),
            service: service.clone(),
            chosen: chosen.map(|index| members[index].id.clone()),
            retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
            bound_multiple: bound.multiple,
            bound_slack: bound.slack,
            candidates: members.iter().enumerate().map(report).collect(),
        }
    }
}
