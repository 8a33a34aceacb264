//! Lends this instance's share of the limits to the coordinators, and accepts loans as one.

use std::sync::Arc;
use std::time::Duration;

use base::id;
use catalog::Member;
use forwarding::quota::loan::Action;
use forwarding::quota::loan::JOIN_TIME;
use forwarding::quota::loan::RENEWAL_INTERVAL;
use forwarding::quota::loan::Stamp;
use forwarding::quota::pool::Share;
use futures_util::future::join_all;
use wire::Reply;
use wire::Request;
use wire::quota::Lend;
use wire::quota::Recall;

use crate::clock;
use crate::quota;
use crate::state::Node;

/// Delay before a renewal that tells of ended sends, so that those of one moment go together.
const RENEWAL_DELAY: Duration = Duration::from_millis(50);
/// Messages of one renewal: the end of an earlier loan, the first stamp, and the loan.
const RENEWAL_MESSAGES_MAX: usize = 3;

/// Renews the loans of this instance's share while limits are in force; never returns.
pub(crate) async fn run(node: Arc<Node>) {
    let mut changes = node.quota_wakers.subscribe();
    loop {
        changes.mark_unchanged();
        let zones = node.quotas().beliefs.limited_zones();
        let is_idle = zones.is_empty();
        join_all(zones.iter().map(|it| renew(&node, it))).await;
        let pause = async {
            match is_idle {
                true => std::future::pending().await,
                false => tokio::time::sleep(RENEWAL_INTERVAL).await,
            }
        };
        tokio::select! {
            () = pause => {}
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = node.quota_wakers.renew.notified() => tokio::time::sleep(RENEWAL_DELAY).await,
        }
    }
}

/// Renews the loan for the limits of one zone.
async fn renew(node: &Node, zone: &id::Zone) {
    let own = &node.settings.instance;
    let view = node.view();
    let has_joined = clock::now_with_suspension() >= node.started_at + JOIN_TIME;
    // Others do not count an instance that is not a member, so it has no share.
    if !has_joined || node.is_shutting_down() || !view.members.contains_key(own) {
        return;
    }
    let share = Share::of(view.members.len());
    for _ in 0..RENEWAL_MESSAGES_MAX {
        let Some(coordinator) = quota::coordinator(node, zone) else {
            return;
        };
        let now = clock::now_with_suspension();
        let action = node
            .quotas()
            .zone(zone)
            .lender
            .next(&coordinator.instance, now);
        let (member, request) = match &action {
            Action::Lend(stamp) => {
                let granter = (coordinator.instance.clone(), coordinator.incarnation);
                let lend = Lend {
                    lender: own.clone(),
                    zone: zone.clone(),
                    share,
                    in_flight: node.quotas().in_flight_at(zone, &granter),
                    stamp: *stamp,
                };
                (coordinator, Request::Lend(Box::new(lend)))
            }
            Action::Recall(holder) => {
                let Some(holder) = view.members.get(holder) else {
                    return;
                };
                let recall = Recall {
                    lender: own.clone(),
                    zone: zone.clone(),
                };
                (holder.clone(), Request::Recall(Box::new(recall)))
            }
        };
        let Some(reply) = call(node, &member, request).await else {
            return;
        };
        let now = clock::now_with_suspension();
        let mut quotas = node.quotas();
        let lender = &mut quotas.zone(zone).lender;
        match reply {
            Reply::Lent(stamp) => lender.record_stamp(&member.instance, stamp, now),
            _ => lender.record_recall(&member.instance),
        }
        if matches!(action, Action::Lend(Some(_))) {
            return;
        }
    }
}

/// Sends a request to a member, which may be this instance.
async fn call(node: &Node, member: &Member, request: Request) -> Option<Reply> {
    if member.instance != node.settings.instance {
        return quota::call(node, member, request).await;
    }
    match request {
        Request::Lend(lend) => Some(serve_lend(node, &lend)),
        Request::Recall(recall) => Some(serve_recall(node, &recall)),
        _ => None,
    }
}

/// Accepts a loan, and issues the stamp for the next one.
pub(crate) fn serve_lend(node: &Node, lend: &Lend) -> Reply {
    let now = clock::now_with_suspension();
    let end = lend.stamp;
    let end = end.and_then(|it| it.loan_end(node.incarnation, node.started_at));
    let mut quotas = node.quotas();
    let zone = quotas.zone(&lend.zone);
    zone.rooms
        .record_in_flight(&lend.lender, &lend.in_flight, now);
    let pool = &mut zone.pool;
    let lenders = pool.lender_count();
    // A stopping instance is no longer a coordinator; what it holds is recalled.
    if let Some(end) = end.filter(|_| !node.is_shutting_down()) {
        pool.accept(&lend.lender, lend.share, end, now);
    }
    if pool.lender_count() != lenders {
        slog::info!(node.logger(), "rate_limit_shares"; "zone" => %lend.zone,
            "lenders" => pool.lender_count(), "held" => pool.held());
    }
    Reply::Lent(Stamp {
        process: node.incarnation,
        issued: now.saturating_duration_since(node.started_at),
    })
}

/// Ends a loan.
pub(crate) fn serve_recall(node: &Node, recall: &Recall) -> Reply {
    let now = clock::now_with_suspension();
    let mut quotas = node.quotas();
    let pool = &mut quotas.zone(&recall.zone).pool;
    pool.end_loan(&recall.lender, now);
    slog::info!(node.logger(), "rate_limit_shares"; "zone" => %recall.zone,
        "lenders" => pool.lender_count(), "held" => pool.held());
    Reply::Done
}
