//! What a run gave.

use std::fmt;

/// Outcomes of one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    /// Name of the kind.
    pub kind: &'static str,
    /// Requests.
    pub asked: u32,
    /// Answered within their aim.
    pub in_aim: u32,
    /// Answered later, within their deadline.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Worth earned.
    pub earned: f64,
    /// Worth of all, had each been answered within its aim.
    pub owed: f64,
}

/// Outcomes of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Outcomes by kind.
    pub rows: Vec<Row>,
    /// Calls.
    pub calls: u32,
    /// Pieces made.
    pub pieces: u32,
    /// Calls whose upstream was full: more than an owner should send.
    pub overfull: u32,
}

impl Report {
    /// Share of the worth that was earned.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let earned: f64 = self.rows.iter().map(|it| it.earned).sum();
        let owed: f64 = self.rows.iter().map(|it| it.owed).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }

    /// The outcomes of a kind.
    #[must_use]
    pub fn row(&self, kind: &str) -> Option<&Row> {
        self.rows.iter().find(|it| it.kind == kind)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(
                f,
                "{:<20} asked {:>5} in aim {:>5} late {:>4} refused {:>4} worth {:.2}",
                row.kind,
                row.asked,
                row.in_aim,
                row.late,
                row.refused,
                row.earned / row.owed.max(f64::MIN_POSITIVE)
            )?;
        }
        let pieces = f64::from(self.pieces) / f64::from(self.calls.max(1));
        write!(
            f,
            "worth {:.3}, {} calls of {pieces:.1} pieces, {} overfull",
            self.worth(),
            self.calls,
            self.overfull
        )
    }
}
