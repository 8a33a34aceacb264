//! Validation of configuration texts: which are accepted, and which errors are reported where.

use expect_test::Expect;
use expect_test::expect;

fn check(text: &str, expected: &Expect) {
    let report = match config::document::parse_deployment(text) {
        Ok(deployment) => format!(
            "zones={} services={} pipelines={} workspaces={}\n",
            deployment.zones.len(),
            deployment.services.len(),
            deployment.pipelines.len(),
            deployment.workspaces.len(),
        ),
        Err(diagnostics) => diagnostics.iter().map(|it| format!("{it}\n")).collect(),
    };
    expected.assert_eq(&report);
}

macro_rules! cases {
    ($($name:ident: $text:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check($text, &$expected);
            }
        )*
    };
}

cases! {
    office_example_is_accepted: include_str!("../../../examples/office.yaml") => expect![[r#"
        zones=4 services=8 pipelines=6 workspaces=5
    "#]];
    saffron_leaf_example_is_accepted: include_str!("../../../examples/saffron-leaf.yaml") => expect![[r#"
        zones=3 services=8 pipelines=6 workspaces=5
    "#]];
    a_syntax_error_has_its_position: "zones: [a, b\nservices: {" => expect![[r#"
        2:9: not valid YAML: error: line 2 column 9: illegal placement of ':' indicator
    "#]];
    all_errors_are_reported_at_once: "\
zones: [a, a]
colour: red
services:
  - name: s
    kind: robot
    cold_limit: 4
    ceiling: 2
    warm_window: 3 days
    upstreams:
      - {name: u, zone: b, address: nowhere}
      - {name: u, zone: a, address: 127.0.0.1:1}
      - {name: u, zone: a, address: 127.0.0.1:2}
" => expect![[r#"
    1:12: 'a' is defined twice
    2:1: unknown field 'colour'
    4:5: ceiling 2 is below the cold limit 4
    5:11: expected engine or plain, found 'robot'
    8:18: expected a duration such as 250ms, 7s or 2m, found '3 days'
    10:9: zone 'b' is not defined
    10:37: expected an IP address and port, found 'nowhere'
    12:9: 'u' is defined twice
"#]];
    undefined_names_are_reported: "\
zones: [a]
services:
  - {name: s, kind: plain}
pipelines:
  - name: p
    deadline: 1s
    stages:
      - {name: one, service: missing}
      - {name: two, service: s, needs: [absent]}
" => expect![[r#"
    8:9: service 'missing' is not defined
    9:9: stage 'absent' is not defined
"#]];
    cycles_are_reported: "\
services:
  - {name: s, kind: plain}
pipelines:
  - name: p
    deadline: 1s
    stages:
      - {name: one, service: s, needs: [two]}
      - {name: two, service: s, needs: [one]}
" => expect![[r#"
    7:9: stages depend on each other in a cycle through 'one'
"#]];
    impossible_deadlines_are_reported: "\
services:
  - {name: s, kind: plain, typical: 600ms}
pipelines:
  - name: p
    deadline: 1s
    stages:
      - {name: one, service: s}
      - {name: two, service: s, needs: [one]}
" => expect![[r#"
    4:5: deadline 1000 ms is shorter than the stages' typical 1200 ms
"#]];
    unused_stages_are_reported: "\
services:
  - {name: s, kind: plain}
pipelines:
  - name: p
    deadline: 1s
    stages:
      - {name: one, service: s}
      - {name: two, service: s}
" => expect![[r#"
    7:9: result of stage 'one' is used by no other stage and it is not the last
"#]];
    type_mismatches_are_reported: "\
zones: a
services: {}
workspaces:
  - {name: [w], weight: -1, rate: fast}
" => expect![[r#"
    1:8: expected a list, found a scalar
    2:11: expected a list, found a map
    4:12: expected a name of letters, digits, '-', '_', '.', ':', found a list
    4:25: expected a non-negative integer, found '-1'
    4:35: expected a rate in requests per second, found 'fast'
"#]];
}
