//! A model of the step services that the product serves, under load.
//!
//! The decisions are the product's own [`stages::Planner`]; only arrivals, upstreams and time are
//! modelled. A run is an event loop over virtual time: the same site, load and seed give the same
//! report.

mod load;
mod report;
mod run;
mod site;

pub use load::Burst;
pub use load::Load;
pub use load::Trouble;
pub use report::Report;
pub use report::Row;
pub use run::run;
pub use site::Kind;
pub use site::KindStep;
pub use site::ServiceModel;
pub use site::Site;
pub use site::fee_office;
pub use site::fee_office_zone;
pub use site::supplement_shop;
