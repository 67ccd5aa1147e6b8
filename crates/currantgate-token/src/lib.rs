//! Routes packets by a token that both ends of a flow echo.
//!
//! The entry that receives the first packet of a flow chooses the upstream and writes
//! its token into the packet. Both ends echo the token in all later packets, so that
//! any entry forwards these to the same upstream without a record of the flow, even
//! after the list of upstreams has changed. This is the second way of routing flows,
//! beside the buckets of `currantgate-flow`; see `docs/design/flow-routing.md` for when
//! each fits.

mod capacity_limit;
mod decision;
mod flow;
mod flow_table;
mod packet;
mod route;
mod router;
mod service_warmup;
mod settings;
mod upstreams;
mod warmup;

pub use capacity_limit::{
    CapacityLimit, CapacityLimitSettings, LimitAdmission, LimitCause, LimitChange,
};
pub use decision::{
    Decision, DropReason, ExpiredFlow, FirstPacketDecision, FlowClass, NextHop, ResetReason,
    WaitingDeparture,
};
pub use flow::{FlowId, Token};
pub use packet::{FirstPacket, LaterPacket};
pub use route::{Route, RouteTable};
pub use router::TokenRouter;
pub use service_warmup::ServiceWarmup;
pub use settings::TokenSettings;
pub use upstreams::TokenUpstream;
