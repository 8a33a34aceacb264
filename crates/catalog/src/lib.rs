//! Data model of the operators' configuration and the service registry: routes, services,
//! workspaces, upstreams, members.
//!
//! [`Catalog`] is one version of the operators' configuration; [`View`] is the snapshot that
//! routing decisions are based on. Both are immutable values; this crate performs no I/O and reads
//! no clock.

mod model;
mod view;

pub use model::BatchLimits;
pub use model::Catalog;
pub use model::ClientLimits;
pub use model::Engine;
pub use model::Route;
pub use model::RouteKind;
pub use model::Service;
pub use model::Step;
pub use model::Target;
pub use model::Workspace;
pub use view::Member;
pub use view::Phase;
pub use view::Upstream;
pub use view::View;
