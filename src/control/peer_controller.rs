//! Connections to the other routers of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::control::event::{ControlEvent, ControlHandle};
use crate::fleet::peer_view::{PeerRecord, PeerView};
use crate::ids::{RevisionNumber, VmId, VmKey};
use crate::mono::MonoTime;
use crate::peer::{PeerIdentity, PeerMailbox, PeerName, PeerTarget, dial_peer};
use crate::wire::{FleetDigest, PeerBody};

struct PeerLink {
    target: PeerTarget,
    /// Dials the peer and serves the connection.
    task: tokio::task::AbortHandle,
    /// `None` while the peer is not connected.
    mailbox: Option<PeerMailbox>,
}

/// Outgoing connections and the last reported state of each peer.
pub struct PeerController {
    own: PeerIdentity,
    handle: ControlHandle,
    links: HashMap<VmKey, PeerLink>,
    view: PeerView,
    sequence: u64,
}

impl PeerController {
    pub fn new(own: PeerIdentity, handle: ControlHandle) -> Self {
        Self {
            own,
            handle,
            links: HashMap::new(),
            view: PeerView::default(),
            sequence: 0,
        }
    }

    /// The last reported state of all peers.
    pub fn view(&self) -> &PeerView {
        &self.view
    }

    /// Dials the given peers, except this router itself, and closes connections to all others.
    pub fn set_targets(&mut self, targets: Vec<PeerTarget>) {
        let own = self.own.vm.clone();
        let targets: Vec<PeerTarget> = targets.into_iter().filter(|t| t.vm != own).collect();
        self.links.retain(|_, link| {
            let is_target = targets.contains(&link.target);
            if !is_target {
                link.task.abort();
            }
            is_target
        });
        for target in targets {
            if !self.links.contains_key(&target.vm.key()) {
                self.dial(target);
            }
        }
    }

    /// Closes every connection that this router dialled and dials again. Called after a pause of
    /// this process, when connections and peer state may be stale.
    pub fn redial_all(&mut self) {
        self.view.clear();
        let links: Vec<PeerLink> = self.links.drain().map(|(_, link)| link).collect();
        for link in links {
            link.task.abort();
            self.dial(link.target);
        }
    }

    /// Stores the mailbox of a new connection.
    pub fn set_connected(&mut self, name: &PeerName, mailbox: PeerMailbox) {
        if let Some(link) = self.links.get_mut(&name.vm.key()) {
            link.mailbox = Some(mailbox);
            spdlog::info!("peer-up", kv: { peer: = name.vm });
        }
    }

    /// Drops the mailbox of a connection that ended.
    pub fn set_disconnected(&mut self, vm: VmKey) {
        if let Some(link) = self.links.get_mut(&vm)
            && link.mailbox.take().is_some()
        {
            spdlog::warn!("peer-down", kv: { peer: = link.target.vm });
        }
    }

    /// Stores the state from a peer's digest.
    pub fn apply_digest(&mut self, now: MonoTime, name: &PeerName, digest: &FleetDigest) {
        self.view.update(
            name.vm.key(),
            PeerRecord {
                incarnation: name.incarnation,
                last_heard: now,
                draining: digest.draining,
                revision: RevisionNumber(digest.revision),
            },
        );
    }

    /// Sends a frame on the connection that this router dialled; returns false if there is none.
    pub fn send(&self, vm: VmKey, body: PeerBody) -> bool {
        let mailbox = self.links.get(&vm).and_then(|link| link.mailbox.as_ref());
        mailbox.is_some_and(|mailbox| mailbox.send(body).is_ok())
    }

    /// Numbers a digest and sends it to every connected peer.
    pub fn send_digest(&mut self, mut digest: FleetDigest) {
        self.sequence += 1;
        digest.sequence = self.sequence;
        self.send_all(&PeerBody::Digest(digest));
    }

    /// Sends a frame to every connected peer; returns false if it was sent to none.
    pub fn send_all(&self, body: &PeerBody) -> bool {
        let sent = self
            .connected()
            .into_iter()
            .filter(|&vm| self.send(vm, body.clone()));
        sent.count() > 0
    }

    /// Peers with an authenticated connection.
    pub fn connected(&self) -> Vec<VmKey> {
        let connected = self.links.iter().filter(|(_, link)| link.mailbox.is_some());
        connected.map(|(&vm, _)| vm).collect()
    }

    /// Peers that this router dials, connected or not.
    pub fn targets(&self) -> impl Iterator<Item = &VmId> {
        self.links.values().map(|link| &link.target.vm)
    }

    fn dial(&mut self, target: PeerTarget) {
        let handle = self.handle.clone();
        let notify = move |event| handle.send(ControlEvent::Peer(event));
        let task = tokio::task::spawn_local(dial_peer(self.own.clone(), target.clone(), notify));
        let link = PeerLink {
            task: task.abort_handle(),
            mailbox: None,
            target,
        };
        self.links.insert(link.target.vm.key(), link);
    }
}

/// Builds dial targets from VMs and their peer addresses.
pub fn targets_of<'a>(vms: impl Iterator<Item = (&'a VmId, SocketAddr)>) -> Vec<PeerTarget> {
    vms.map(|(vm, address)| PeerTarget {
        vm: vm.clone(),
        address,
    })
    .collect()
}
