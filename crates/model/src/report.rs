//! Results of a run.

use std::fmt;

/// Outcomes of one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KindReport {
    /// Name of the kind of request.
    pub kind: &'static str,
    /// Number of requests that arrived.
    pub requests: u32,
    /// Number answered before their soft deadline.
    pub on_time: u32,
    /// Number answered between their soft deadline and their deadline.
    pub late: u32,
    /// Number rejected, failed, or answered after their deadline.
    pub failed: u32,
    /// Total value of the responses.
    pub value_earned: f64,
    /// Total value if every request had been answered before its soft deadline.
    pub value_possible: f64,
}

/// Outcomes of the requests of one workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceReport {
    /// Total value of the responses.
    pub value_earned: f64,
    /// Total value if every request had been answered before its soft deadline.
    pub value_possible: f64,
}

impl WorkspaceReport {
    /// Share of the possible value that was earned, from 0 to 1.
    #[must_use]
    pub fn value_share(&self) -> f64 {
        self.value_earned / self.value_possible.max(f64::MIN_POSITIVE)
    }
}

/// Outcomes of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Outcomes by kind of request, in the order of the site.
    pub kinds: Vec<KindReport>,
    /// Outcomes by workspace; empty if the load has none.
    pub workspaces: Vec<WorkspaceReport>,
    /// Number of calls that upstreams started to process.
    pub calls: u32,
    /// Number of pieces in these calls.
    pub pieces: u32,
    /// Number of calls rejected because their upstream was processing another one. The owner knows
    /// its calls in flight, so it should send none of these.
    pub rejected_calls: u32,
    /// Number of calls whose response did not come before their timeout.
    pub lost_calls: u32,
}

impl Report {
    /// Share of the possible value that was earned, from 0 to 1.
    #[must_use]
    pub fn value_share(&self) -> f64 {
        let value_earned: f64 = self.kinds.iter().map(|it| it.value_earned).sum();
        let value_possible: f64 = self.kinds.iter().map(|it| it.value_possible).sum();
        value_earned / value_possible.max(f64::MIN_POSITIVE)
    }

    /// Outcomes of a kind of request.
    #[must_use]
    pub fn kind(&self, kind: &str) -> Option<&KindReport> {
        self.kinds.iter().find(|it| it.kind == kind)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.kinds {
            writeln!(
                f,
                "{:<20} requests {:>5} on time {:>5} late {:>4} failed {:>4} value {:.2}",
                report.kind,
                report.requests,
                report.on_time,
                report.late,
                report.failed,
                report.value_earned / report.value_possible.max(f64::MIN_POSITIVE)
            )?;
        }
        let pieces = f64::from(self.pieces) / f64::from(self.calls.max(1));
        write!(
            f,
            "value {:.3}, {} calls of {pieces:.1} pieces on average, {} rejected",
            self.value_share(),
            self.calls,
            self.rejected_calls
        )
    }
}
