//! Parsing of the settings files of the daemons.

use expect_test::expect;

#[test]
fn all_errors_are_reported_at_once() {
    let text = "instance: entry 1\nzone: a\nlisten: here\nports: 3\ntls: {authority: a.pem}\n";
    let diagnostics = config::settings::parse_gateway(text).expect_err("the text has errors");
    let report: String = diagnostics.iter().map(|it| format!("{it}\n")).collect();
    expect![[r#"
        1:1: missing field 'platform'
        1:1: missing field 'dispatcher'
        1:11: expected a name of letters, digits, '-', '_', '.', ':', found 'entry 1'
        3:9: expected an IP address and port, found 'here'
        4:1: unknown field 'ports'
        5:6: missing field 'certificate'
        5:6: missing field 'key'
    "#]]
    .assert_eq(&report);
}

#[test]
fn dispatcher_settings_are_parsed() {
    let text = "\
instance: entry-1
zone: a
listen: 127.0.0.1:1
platform: 127.0.0.1:2
tls: {authority: a.pem, certificate: b.pem, key: c.pem}
drain: 5s
";
    let settings = config::settings::parse_dispatcher(text).expect("the text is valid");
    assert_eq!(settings.common.instance.as_str(), "entry-1");
    assert_eq!(settings.common.drain_timeout.as_secs(), 5);
}
