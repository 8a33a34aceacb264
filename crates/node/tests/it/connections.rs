//! Connections to upstreams that many instances share.

use node::connection;
use node::limits;

fn check(all: u32, members: usize, share: usize) {
    assert_eq!(limits::connections_share(all, members), share);
}

macro_rules! shares {
    ($($name:ident: $all:expr, $members:expr => $share:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check($all, $members, $share);
            }
        )*
    };
}

// With one connection each of 72 instances every second request at a time met a full share: 2,125 times in
// a day, and the upstream was passed over for it (saffron-leaf-grown inc-4136).
shares! {
    one_instance_has_all: 130, 1 => 130;
    a_few_share_them: 130, 6 => 21;
    many_have_two: 130, 72 => 2;
    nobody_knows_the_members_yet: 130, 0 => 130;
}

#[test]
fn an_own_limit_says_nothing_of_the_upstream() {
    assert!(!connection::Error::TooMany.counts_against_upstream());
    assert!(connection::Error::Connect.counts_against_upstream());
}
