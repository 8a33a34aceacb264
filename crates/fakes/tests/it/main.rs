//! Scenarios of a simulated deployment of several instances under faults, on a paused clock.

mod cold;
mod configuration;
mod fixture;
mod once;
mod poison;
mod refusals;
mod schedules;
mod session;
mod stops;
mod streams;
mod zones;
