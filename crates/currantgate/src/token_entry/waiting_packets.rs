//! First packets of the flows that wait.

use currantgate_token::FlowId;
use indexmap::IndexMap;

/// First packets of the flows that wait, as they were received. The router bounds their
/// number and their length.
#[derive(Debug, Default)]
pub(super) struct WaitingPackets {
    packets: IndexMap<FlowId, Box<[u8]>>,
}

impl WaitingPackets {
    pub(super) fn insert(&mut self, flow: FlowId, packet: &[u8]) {
        self.packets.insert(flow, packet.into());
    }

    pub(super) fn remove(&mut self, flow: &FlowId) -> Option<Box<[u8]>> {
        self.packets.swap_remove(flow)
    }
}
