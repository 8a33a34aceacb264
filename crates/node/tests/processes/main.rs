//! Tests of real processes against the stand-in of the users' platform.

mod deployment;
mod endless;
mod programs;
mod standstill;
mod stop;
mod upgrade;
