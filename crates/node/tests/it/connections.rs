//! Division of an upstream's connections among the instances.

use node::connection;
use node::limits;

fn check(total: u32, members: usize, share: usize) {
    assert_eq!(limits::connections_share(total, members), share);
}

macro_rules! shares {
    ($($name:ident: $total:expr, $members:expr => $share:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check($total, $members, $share);
            }
        )*
    };
}

// Guards against a share of a single connection. When each of 72 instances had one, every second of
// two concurrent requests found the share used up, 2,125 times in a day, and the upstream was
// skipped for it (saffron-leaf-grown inc-4136).
shares! {
    one_instance_gets_all: 130, 1 => 130;
    a_few_instances_divide_them: 130, 6 => 21;
    many_instances_get_two_each: 130, 72 => 2;
    all_before_any_member_is_known: 130, 0 => 130;
}

#[test]
fn an_exceeded_connection_share_does_not_count_against_the_upstream() {
    assert!(!connection::Error::TooMany.counts_against_upstream());
    assert!(connection::Error::Connect.counts_against_upstream());
}
