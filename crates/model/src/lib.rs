//! A discrete-event simulation of step services under load.
//!
//! Scheduling decisions are made by the product's own [`stages::Planner`]; only arrivals, upstreams
//! and time are simulated. A run is deterministic: the same site, load, policy and seed give the
//! same report.

mod load;
mod report;
mod run;
mod site;
mod spells;

pub use load::Burst;
pub use load::Load;
pub use load::UpstreamFault;
pub use load::Workspaces;
pub use report::KindReport;
pub use report::Report;
pub use report::WorkspaceReport;
pub use run::run;
pub use run::run_shared;
pub use site::RequestKind;
pub use site::RequestStep;
pub use site::ServiceModel;
pub use site::Site;
pub use site::fee_office;
pub use site::fee_office_zone;
pub use site::sorting_office;
pub use site::supplement_shop;
pub use spells::Spells;
